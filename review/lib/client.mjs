/** Clients: ask the nodes for addresses, and send requests on new or kept connections. */
import { Agent, request } from 'node:http'

function get (address, path, timeoutMs) {
  const [host, port] = address.split(':')
  return new Promise(resolve => {
    const req = request({ host, port, path, agent: false, timeout: timeoutMs }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('end', () => resolve({ status: res.statusCode, body: Buffer.concat(chunks).toString() }))
      res.on('error', () => resolve({ status: 0 }))
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve({ status: 0 }))
    req.end()
  })
}

export const isReady = async node => (await get(node.ready, '/-/readyz', 1000)).status === 200

/**
 * Follows the directory: asks up to three nodes, and keeps an answer for its time.
 *
 * @param nodes - returns the nodes that were started
 */
export function createDirectory (nodes, host, zone) {
  let known = { addresses: [], until: 0 }
  return {
    async addresses () {
      if (Date.now() < known.until) return known.addresses
      const asked = [...nodes()].sort(() => Math.random() - 0.5).slice(0, 3)
      for (const node of asked) {
        const { status, body } = await get(node.directory, `/-/resolution?name=${host}&region=region-a&zone=${zone}`, 1000)
        if (status !== 200) continue
        const { addresses, ttl_s: ttl } = JSON.parse(body)
        if (addresses.length === 0) continue
        known = { addresses, until: Date.now() + Math.min(5, ttl) * 1000 }
        return addresses
      }
      return known.addresses
    }
  }
}

export const createAgent = () => new Agent({ keepAlive: true, maxSockets: Infinity })

let lastId = 0
const runId = Date.now().toString(16)

export const newRequestId = () => `${runId}${(++lastId).toString(16).padStart(6, '0')}`

/**
 * Sends one client attempt.
 *
 * @returns its end: a status with the body, or status 0 if the connection failed or the deadline passed
 */
export function send (address, { agent, method = 'POST', path, host, headers = {}, body, deadlineMs }, record) {
  const id = newRequestId()
  const [ip, port] = address.split(':')
  const sentAt = Date.now()
  return new Promise(resolve => {
    let ended = false
    const finish = result => {
      if (ended) return
      ended = true
      clearTimeout(timer)
      record('answered', { request: id, node: ip, status: result.status, complete: result.complete, reason: result.reason, afterMs: Date.now() - sentAt })
      resolve({ id, sentAt, ...result })
    }
    const req = request({ host: ip, port, agent: agent ?? false, method, path, headers: { Host: host, 'Request-Id': id, 'Deadline-Ms': String(deadlineMs), ...headers } }, res => {
      const chunks = []
      res.on('data', chunk => chunks.push(chunk))
      res.on('end', () => finish({ status: res.statusCode, headers: res.headers, complete: res.complete, body: Buffer.concat(chunks).toString() }))
      res.on('error', err => finish({ status: 0, complete: false, reason: err.code ?? err.message }))
    })
    const timer = setTimeout(() => {
      finish({ status: 0, complete: false, reason: 'deadline' })
      req.destroy()
    }, deadlineMs)
    req.on('error', err => finish({ status: 0, complete: false, reason: err.code ?? err.message }))
    record('sent', { request: id, node: ip, path, model: headers.Model })
    req.end(body)
  })
}
