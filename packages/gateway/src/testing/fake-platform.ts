/** In-memory platform for tests: feeds, an engine that carries out commands, and headers with plain names. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Err, Ok } from 'ts-results/result.js'
import type { BackendServer, ClusterConfig, EngineReport } from '../cluster-types'
import type { EngineControl, Feed, FeedPage, FleetLog, FleetRecord, NodeSettings, OperatorRecord, Platform, ServerRecord, StreamLog, StreamsRecord, UnreadableRecord } from '../platform-interface'
import { testCodec } from './test-codec'

export type FakeFeed<Value> = Feed<Value> & {
  append (key: string, value: Value | undefined): number
  /** Makes all reads fail while `down` is true. */
  setDown (down: boolean): void
}

export function createFakeFeed<Value> (): FakeFeed<Value> {
  const records: { key: string, offset: number, value: Value | undefined }[] = []
  const waiting = new Set<() => void>()
  let down = false

  const page = (from: number): FeedPage<Value> => ({ records: records.slice(from), next: records.length })
  const unavailable = Err({ type: 'unavailable' as const, reason: 'down' })

  return {
    newest: async () => down ? unavailable : Ok(page(0)),
    async read (from, waitMs, signal) {
      if (down) return unavailable
      if (records.length <= from && waitMs > 0) {
        await new Promise<void>(resolve => {
          const timer = setTimeout(resolve, waitMs)
          const wake = (): void => {
            clearTimeout(timer)
            resolve()
          }
          waiting.add(wake)
          signal?.addEventListener('abort', wake)
        })
      }
      return down || signal?.aborted === true ? unavailable : Ok(page(from))
    },
    append (key, value) {
      const offset = records.length
      records.push({ key, offset, value })
      for (const wake of waiting) wake()
      waiting.clear()
      return offset
    },
    setDown (value) {
      down = value
    }
  }
}

function createFakeStreamLog (): StreamLog {
  const feed = createFakeFeed<StreamsRecord | UnreadableRecord>()
  return {
    newest: async () => (await feed.newest()).map(({ records, next }) => ({ records: [...new Map(records.map(record => [record.key, record])).values()], next })),
    append: async records => Ok(records.map(({ key, value }) => feed.append(key, value))[0] ?? 0)
  }
}

function createFakeFleetLog (): FleetLog {
  const feed = createFakeFeed<FleetRecord | UnreadableRecord>()
  let length = 0
  return {
    ...feed,
    check: value => value as FleetRecord,
    async append (records, expectedEnd) {
      if (expectedEnd !== undefined && expectedEnd !== length) return Err('conflict' as const)
      const first = length
      for (const { key, value } of records) length = feed.append(key, value) + 1
      return Ok(first)
    }
  }
}

export type FakeEngine = EngineControl & { adapters: Set<string>, commands: string[] }

/** Engine that loads and unloads adapters immediately. */
export function createFakeEngine (model: string): FakeEngine {
  const adapters = new Set<string>()
  const commands: string[] = []
  let count = 0
  return {
    adapters,
    commands,
    async command (_server, { operation, adapter, expectedCount }) {
      if (expectedCount !== count || adapter === undefined) return 'conflict'
      count += 1
      commands.push(`${operation} ${adapter}`)
      if (operation === 'load') adapters.add(adapter)
      else adapters.delete(adapter)
      return operation === 'load' ? 'accepted' : 'holds'
    },
    report: async (): Promise<EngineReport> => ({ commandCount: count, models: [{ name: model, adapters: [...adapters].map(name => ({ name })) }], loading: [], busy: false, queued: 0, active: 0 })
  }
}

export type FakePlatform = Platform & { operator: FakeFeed<OperatorRecord>, servers: FakeFeed<ServerRecord>, engines: FakeEngine }

export function createFakePlatform (settings: NodeSettings): FakePlatform {
  return {
    settings,
    operator: createFakeFeed<OperatorRecord>(),
    servers: createFakeFeed<ServerRecord>(),
    fleet: createFakeFleetLog(),
    streams: createFakeStreamLog(),
    renewStoreConnections () {},
    engines: createFakeEngine('base'),
    headers: testCodec,
    ingress: {
      readyPath: '/ready',
      addressQuery: (_method, url) => url.startsWith('/addresses') ? { host: 'any' } : undefined,
      addressResponse: response => JSON.stringify(response)
    }
  }
}

export type FakeBackend = { server: BackendServer, http: Server, requests: IncomingMessage[], close (): void }

/** Starts a backend server on the loopback interface. */
export async function startBackend (id: string, service: string, handle: (req: IncomingMessage, res: ServerResponse) => void, overrides: Partial<BackendServer> = {}): Promise<FakeBackend> {
  const requests: IncomingMessage[] = []
  const http = createServer((req, res) => {
    requests.push(req)
    req.resume()
    req.on('end', () => handle(req, res))
  })
  await new Promise<void>(resolve => http.listen(0, '127.0.0.1', resolve))
  const { port } = http.address() as { port: number }
  const server: BackendServer = { id, bornAt: 1, service, address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 8, models: [], ...overrides }
  return {
    server,
    http,
    requests,
    close () {
      http.closeAllConnections()
      http.close()
    }
  }
}

export const testConfig: ClusterConfig = {
  version: 1,
  routes: [
    { name: 'read', host: 'a.example', pathPrefix: '/read/', kind: 'idempotent', timeoutMs: 2000, objectiveMs: 100, patienceMs: 2000, priority: 0, attempts: 2, resumable: false, targets: [{ service: 'desk', weight: 1 }] },
    { name: 'order', host: 'a.example', pathPrefix: '/order/', kind: 'non-idempotent', timeoutMs: 2000, objectiveMs: 100, patienceMs: 2000, priority: 0, attempts: 1, resumable: false, targets: [{ service: 'desk', weight: 1 }] },
    { name: 'draft', host: 'a.example', pathPrefix: '/draft/', kind: 'streaming', timeoutMs: 5000, objectiveMs: 1000, patienceMs: 4000, priority: 1, attempts: 1, resumable: false, targets: [{ service: 'llm', weight: 1 }] }
  ],
  services: [
    { name: 'desk', maxConnections: 50 },
    { name: 'llm', maxConnections: 50, engine: { slots: 8, kvTokens: 100_000, weightsMb: 1000, adapterSlots: 2, loadsPerSecond: 1, models: [{ name: 'base', weightsMb: 900, adapterMb: 1 }] } }
  ],
  limits: { headerBytes: 16_384, bodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}
