/** Performs the core's actions on the platform: log, instance list, engines and plain services. */
import type { Dispatcher } from 'undici'
import { createEngineClient, createInstanceListClient, createLogClient, createPlainServiceClient, type EngineClient, type PlainServiceClient, type ServiceRequest } from '@yuccawharf/clients'
import type { CoreAction, CoreEvent } from './core/core-events'
import type { Directory } from './directory'

export type PlatformShellEnv = {
  dispatcher: Dispatcher
  directory: Directory
  logUrl: string
  instancesUrl: string
  report (event: CoreEvent): void
  /** Timeout of a call to a plain service, in ms. */
  serviceTimeoutMs (group: string): number
}

export type PlatformShells = {
  readLog (stream: string, from: number): void
  append (action: CoreAction & { type: 'append' }): void
  command (action: CoreAction & { type: 'engine-command' }): void
  sendOrder (action: CoreAction & { type: 'send-order' }): void
  pollInstances (): Promise<void>
  /** Requests the reports of the engines. */
  pollEngines (engines: string[]): void
  stop (): void
}

/** Records per read; a page of 500 records is well below the client's size limit. */
const pageRecords = 500
/** Longest time for which the log delays a read while there are no new records, in ms. */
const longPollMs = 2000
/** Delay before the next read when an empty page was returned sooner than this, in ms. */
const pauseAfterEmptyMs = 50

type Pool<T> = { get (id: string): T | undefined, clear (): void }

/** Creates a pool of clients by instance id; a client is replaced when the address of its instance changes. */
function createPool<T extends { close (): Promise<void> }> (directory: Directory, create: (baseUrl: string, id: string) => T): Pool<T> {
  const clients = new Map<string, { address: string, client: T }>()
  return {
    get (id) {
      const address = directory.address(id)
      const pooled = clients.get(id)
      if (address === undefined) return pooled?.client
      if (pooled?.address === address) return pooled.client
      const client = create(`http://${address}`, id)
      clients.set(id, { address, client })
      return client
    },
    clear: () => clients.clear()
  }
}

/** Creates the shells; their clients share one connection pool. */
export function createPlatformShells (env: PlatformShellEnv): PlatformShells {
  const { dispatcher, directory, report } = env
  const log = createLogClient({ baseUrl: env.logUrl, dispatcher })
  const instanceList = createInstanceListClient({ baseUrl: env.instancesUrl, dispatcher, timeoutMs: 2000 })
  const engines = createPool<EngineClient>(directory, baseUrl => createEngineClient({ baseUrl, dispatcher, timeoutMs: 2000 }))
  const services = createPool<PlainServiceClient>(directory, (baseUrl, id) => createPlainServiceClient({ baseUrl, dispatcher, timeoutMs: env.serviceTimeoutMs(directory.instance(id)?.group ?? '') }))
  const polling = new Set<string>()
  let stopped = false

  function reportLater (event: CoreEvent, delayMs: number): void {
    setTimeout(() => { if (!stopped) report(event) }, delayMs).unref()
  }

  async function read (stream: string, from: number): Promise<void> {
    const started = performance.now()
    const result = await log.read(stream, from, pageRecords, longPollMs)
    if (stopped) return
    if (result.type === 'failed') report({ type: 'log-read-failed', stream })
    else if (result.type === 'expired') report({ type: 'log-expired', stream, first: result.first, next: result.next })
    else {
      const event: CoreEvent = { type: 'log-page', stream, page: result.page }
      const early = result.page.records.length === 0 && performance.now() - started < pauseAfterEmptyMs
      if (early) reportLater(event, pauseAfterEmptyMs)
      else report(event)
    }
  }

  async function pollEngine (engine: string): Promise<void> {
    const client = engines.get(engine)
    if (client === undefined || polling.has(engine)) return
    polling.add(engine)
    try {
      const status = await client.status()
      if (stopped) return
      report(status === undefined ? { type: 'engine-unreachable', engine } : { type: 'engine-report', report: status })
    } finally {
      polling.delete(engine)
    }
  }

  async function callService (orderId: string, instance: string, req: ServiceRequest): Promise<void> {
    const client = services.get(instance)
    const result = client === undefined
      ? { type: 'not-sent' as const, reason: `instance ${instance} has no address` }
      : await client.call(req, new AbortController().signal)
    if (!stopped) report({ type: 'service-result', orderId, result })
  }

  return {
    readLog (stream, from) {
      read(stream, from).catch(() => report({ type: 'log-read-failed', stream }))
    },
    append ({ stream, token, values }) {
      log.append(stream, values)
        .catch((err: Error) => ({ type: 'unknown' as const, reason: err.message }))
        .then(result => { if (!stopped) report({ type: 'append-result', token, result }) }, () => {})
    },
    command ({ engine, token, command, fence }) {
      const client = engines.get(engine)
      const result = client === undefined
        ? Promise.resolve({ type: 'refused' as const, reason: `engine ${engine} has no address` })
        : client.command(command, fence)
      result
        .catch((err: Error) => ({ type: 'unknown' as const, reason: err.message }))
        .then(outcome => { if (!stopped) report({ type: 'engine-command-result', engine, token, result: outcome }) }, () => {})
    },
    sendOrder ({ orderId, instance, req }) {
      callService(orderId, instance, req)
        .catch((err: Error) => report({ type: 'service-result', orderId, result: { type: 'unknown', reason: err.message } }))
    },
    async pollInstances () {
      const snapshot = await instanceList.fetch()
      if (snapshot === undefined || stopped) return
      directory.update(snapshot)
      report({ type: 'instance-list', snapshot })
    },
    pollEngines (ids) {
      for (const id of ids) pollEngine(id).catch(() => report({ type: 'engine-unreachable', engine: id }))
    },
    stop () {
      stopped = true
      engines.clear()
      services.clear()
    }
  }
}
