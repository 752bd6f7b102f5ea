/**
 * Finds the response to a request whose owner this node doesn't know: the caller resumes at another
 * node, or the owner has died. Probes the nodes first, then the engines, which retain their own responses.
 */
import type { Dispatcher } from 'undici'
import type { Directory } from './directory'

export type ResponseLocation =
  | { type: 'peer', node: string, address: string }
  | { type: 'engine', engine: string }

/** Number of nodes or engines probed at the same time. */
const parallelProbes = 32
/** An instance that doesn't reply in time counts as not having the response. */
const probeTimeoutMs = 1000

type Probe<T> = () => Promise<T | undefined>

/** Runs the probes in groups until one group has results; results are in the order of the probes. */
async function firstGroupWithResults<T> (probes: Probe<T>[]): Promise<T[]> {
  for (let from = 0; from < probes.length; from += parallelProbes) {
    const group = probes.slice(from, from + parallelProbes)
    const results = await Promise.all(group.map(async probe => await probe().catch(() => undefined)))
    const found = results.filter(result => result !== undefined)
    if (found.length > 0) return found
  }
  return []
}

export type ResponseLocator = {
  locate (requestId: string): Promise<ResponseLocation | undefined>
}

/** @param self id of this node */
export function createResponseLocator (dispatcher: Dispatcher, directory: Directory, self: string): ResponseLocator {
  async function probePeer (node: string, address: string, requestId: string): Promise<{ location: ResponseLocation, owner: boolean } | undefined> {
    const path = `/peer/v1/completions/${encodeURIComponent(requestId)}`
    const response = await dispatcher.request({ origin: `http://${address}`, path, method: 'HEAD', signal: AbortSignal.timeout(probeTimeoutMs) })
    await response.body.dump()
    if (response.statusCode !== 200) return undefined
    return { location: { type: 'peer', node, address }, owner: response.headers['x-answer-role'] === 'owner' }
  }

  async function probeEngine (engine: string, address: string, requestId: string): Promise<ResponseLocation | undefined> {
    const abort = new AbortController()
    const timer = setTimeout(() => abort.abort(), probeTimeoutMs)
    const path = `/v1/responses/${encodeURIComponent(requestId)}?stream=true&starting_after=0`
    try {
      const response = await dispatcher.request({ origin: `http://${address}`, path, method: 'GET', signal: abort.signal })
      // Only the status matters; the caller opens the stream after its own last event.
      response.body.on('error', () => {})
      response.body.destroy()
      return response.statusCode === 200 ? { type: 'engine', engine } : undefined
    } finally {
      clearTimeout(timer)
    }
  }

  return {
    async locate (requestId) {
      const nodes = directory.list('node').filter(instance => instance.id !== self)
      const peers = await firstGroupWithResults(nodes.map(({ id, address }) => async () => await probePeer(id, address, requestId)))
      const peer = peers.find(found => found.owner) ?? peers[0]
      if (peer !== undefined) return peer.location
      const engines = directory.list('engine')
      const [found] = await firstGroupWithResults(engines.map(({ id, address }) => async () => await probeEngine(id, address, requestId)))
      return found
    }
  }
}
