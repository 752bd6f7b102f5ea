/** Engines of several software versions, and clients that take up broken streams as the platform's clients do. */
import { request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { ClusterConfig } from '../cluster-types'
import { startBackend, testConfig, type FakeBackend } from './fake-platform'
import { sendTestRequest, startTestNodes, untilServed, type TestNodes } from './test-nodes'

const engineSlots = 32

/** A resumable route whose requests may be sent to three engines. */
const versionConfig: ClusterConfig = {
  ...testConfig,
  routes: testConfig.routes.map(route => route.kind === 'streaming' ? { ...route, resumable: true, attempts: 3 } : route),
  services: testConfig.services.map(service => service.engine === undefined ? service : { ...service, engine: { ...service.engine, slots: engineSlots } })
}

const eventCount = 30
/** A stream with this event is in its middle. */
const middleEvent = 6
/** Range of the time between two events, in ms. */
const eventGapMs = { shortest: 30, longest: 45 }
/** Wait of a client before it sends again, in ms. */
const retryMs = 100
/** Time in which a client takes up its stream, from its begin, in ms. */
const clientMs = 4000
/** Time for which a client waits for a late take-up, in ms. */
const lateMs = 5000
/** Time in which engines must get an owner, in ms. */
const claimMs = 8000
/** Time between the begins of two streams, in ms. */
const startEveryMs = 15

export type VersionEngine = {
  id: string
  version: string
  /** Ends at once, with its streams. @returns the number of streams that it has cut off */
  crash (): number
  /** Writes the entry with the state `draining`. */
  drain (): void
  /** Removes the entry and ends. */
  leave (): void
}

export type StreamTry = {
  id: string
  /** Whether it names the last event that the client has. */
  takesUp: boolean
  /** Engines of the stream's version that accepted requests when it was sent. */
  sameVersionEngines: number
  /** 0 if the connection ended without a response. */
  status: number
  afterMs: number
  events: number
}

export type ClientStream = {
  key: string
  /** Versions of the engines whose events the client has got. */
  versions: Set<string>
  tries: StreamTry[]
  /** Request that brought the first event. */
  firstId?: string
  lastEvent: number
  complete: boolean
}

/** What a client sends as `Resumes`; undefined for nothing. */
export type NamedRequest = (stream: ClientStream, others: readonly ClientStream[]) => string | undefined

const namesFirst: NamedRequest = ({ firstId }) => firstId

export type ClientOptions = {
  resumes?: NamedRequest
  /** Events after which the client breaks its connection off, to take the stream up at the next node. */
  breakAfter?: number
  /** Index of the node at which all streams begin; each begins at another one if absent. */
  node?: number
  /** Whether the client takes up no stream by itself. */
  sendsOnce?: boolean
  /** Parts of the prompt; those of each stream are its own if absent. */
  parts?: string
}

export type VersionStreams = {
  nodes: TestNodes
  engines: VersionEngine[]
  streams: ClientStream[]
  startEngine (version: string): Promise<VersionEngine>
  /** Begins streams one after the other, each at another node than the one before. @returns once all are begun; their clients go on */
  begin (count: number, options?: ClientOptions): Promise<void>
  /** Waits until all streams have got some events. */
  untilMiddle (): Promise<void>
  /** Takes the stream up once more, at the node of the index. */
  takeUp (stream: ClientStream, node: number): Promise<StreamTry>
  /** Waits until no client is active. */
  finished (): Promise<void>
  /** Kills one node for good. */
  killNode (index: number): void
  /** Kills all nodes at the same time and starts them again. */
  killAll (): Promise<void>
  /** Waits until each node has got an event of an engine. */
  untilServing (): Promise<void>
  /** Waits until each engine has an owner, so that requests may go to it. */
  untilClaimed (): Promise<void>
  stop (): Promise<void>
}

type StreamEvent = { id: number, version: string }
type Received = { status: number, events: number, complete: boolean }

/** @param breakAfter - number of events after which it breaks the connection off */
function receive (port: number, headers: Record<string, string>, breakAfter: number, timeoutMs: number, receiveEvent: (event: StreamEvent) => void): Promise<Received> {
  return new Promise(resolve => {
    let events = 0
    let status = 0
    let text = ''
    const finish = (complete: boolean): void => {
      clearTimeout(timer)
      req.destroy()
      resolve({ status, events, complete })
    }
    const req = request({ host: '127.0.0.1', port, path: '/draft/x', method: 'POST', agent: false, headers: { host: 'a.example', ...headers } }, res => {
      status = res.statusCode ?? 0
      res.on('data', chunk => {
        text += String(chunk)
        const parts = text.split('\n\n')
        text = parts.pop()!
        for (const part of parts) {
          const [, id, version] = /^id: (\d+)\ndata: (\S+)/.exec(part) ?? []
          if (id === undefined) continue
          events += 1
          receiveEvent({ id: Number(id), version: version! })
          if (events === breakAfter) return finish(false)
        }
      })
      res.on('end', () => finish(res.complete))
      res.on('error', () => finish(false))
    })
    const timer = setTimeout(() => finish(false), timeoutMs)
    req.on('error', () => finish(false))
    req.end()
  })
}

/** @param versions - of the engines that serve from the begin, one for each */
export async function startVersionStreams (versions: string[], zones = ['a', 'a', 'b']): Promise<VersionStreams> {
  const nodes = await startTestNodes(zones)
  const engines: VersionEngine[] = []
  const streams: ClientStream[] = []
  const clients: Promise<void>[] = []
  const accepting = new Map<VersionEngine, string>()
  const stopping = new AbortController()
  const dead = new Set<number>()
  let lastId = 0

  async function startEngine (version: string): Promise<VersionEngine> {
    const id = `e${engines.length + 1}`
    const running = new Set<object>()
    const backend: FakeBackend = await startBackend(id, 'llm', (req, res) => {
      const isProbe = req.headers['x-probe'] !== undefined
      let event = Number(req.headers['x-last'] ?? 0)
      running.add(res)
      res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' })
      const next = (): void => {
        event += 1
        res.write(`id: ${event}\ndata: ${version}\n\n`)
        if (isProbe || event >= eventCount) res.end()
        else timer = setTimeout(next, eventGapMs.shortest + Math.random() * (eventGapMs.longest - eventGapMs.shortest))
      }
      let timer = setTimeout(next, isProbe ? 0 : eventGapMs.shortest)
      res.on('close', () => {
        clearTimeout(timer)
        running.delete(res)
      })
    }, { models: [{ name: 'base', adapters: [] }], slots: engineSlots, version })
    let sequence = 0
    const write = (state: 'ready' | 'draining'): void => { nodes.platform.servers.append(id, { type: 'server', server: { ...backend.server, state }, sequence: ++sequence }) }
    const end = (): void => {
      accepting.delete(engine)
      nodes.platform.servers.append(id, undefined)
      backend.close()
    }
    const engine: VersionEngine = {
      id,
      version,
      crash () {
        const cut = running.size
        end()
        return cut
      },
      drain () {
        accepting.delete(engine)
        write('draining')
      },
      leave: end
    }
    engines.push(engine)
    accepting.set(engine, version)
    write('ready')
    return engine
  }

  async function sendOnce (stream: ClientStream, node: number, { resumes = namesFirst, breakAfter = Infinity, parts = stream.key }: ClientOptions, timeoutMs: number): Promise<StreamTry> {
    const id = `r${++lastId}`
    const takesUp = stream.lastEvent > 0
    const named = takesUp ? resumes(stream, streams) : undefined
    const [version] = stream.versions
    const sameVersionEngines = [...accepting.values()].filter(other => other === version).length
    const sentAt = performance.now()
    const { status, events, complete } = await receive(nodes.fronts[node]!, {
      'x-id': id,
      'x-parts': parts,
      authorization: stream.key,
      ...(takesUp ? { 'x-last': String(stream.lastEvent) } : {}),
      ...(named === undefined ? {} : { 'x-resumes': named })
    }, breakAfter, timeoutMs, event => {
      stream.versions.add(event.version)
      stream.firstId ??= id
      stream.lastEvent = event.id
    })
    stream.complete ||= complete && stream.lastEvent === eventCount
    const outcome: StreamTry = { id, takesUp, sameVersionEngines, status, afterMs: performance.now() - sentAt, events }
    stream.tries.push(outcome)
    return outcome
  }

  async function play (stream: ClientStream, firstNode: number, options: ClientOptions): Promise<void> {
    const endAt = performance.now() + clientMs
    for (let node = firstNode; !stream.complete && !stopping.signal.aborted && performance.now() < endAt; node++) {
      await sendOnce(stream, node % zones.length, options, endAt - performance.now())
      if (options.sendsOnce === true) return
      if (!stream.complete) await sleep(retryMs)
    }
  }

  async function untilServing (): Promise<void> {
    await untilServed(nodes, front => {
      const id = `probe${++lastId}`
      return sendTestRequest(front, '/draft/x', id, { 'x-parts': id, 'x-probe': '1' })
    })
  }

  const isClaimed = ({ id }: VersionEngine): boolean => nodes.lines.some(line => line.event === 'engines-claimed' && typeof line['result'] === 'number' && (line['engines'] as string[]).includes(id))

  nodes.platform.operator.append('config', { type: 'config', config: versionConfig })
  for (const version of versions) await startEngine(version)
  await untilServing()
  return {
    nodes,
    engines,
    streams,
    startEngine,
    untilServing,
    async untilClaimed () {
      const endAt = performance.now() + claimMs
      while (!engines.every(isClaimed)) {
        if (performance.now() > endAt) throw new Error(`some engines have no owner after ${claimMs} ms`)
        await sleep(20)
      }
    },
    async begin (count, options = {}) {
      for (let index = 0; index < count; index++) {
        const stream: ClientStream = { key: `stream-${streams.length}`, versions: new Set(), tries: [], lastEvent: 0, complete: false }
        streams.push(stream)
        clients.push(play(stream, options.node ?? index, options))
        await sleep(startEveryMs)
      }
    },
    async untilMiddle () {
      const endAt = performance.now() + clientMs
      while (streams.some(({ lastEvent }) => lastEvent < middleEvent)) {
        if (performance.now() > endAt) throw new Error(`some streams have fewer than ${middleEvent} events after ${clientMs} ms`)
        await sleep(10)
      }
    },
    takeUp: (stream, node) => sendOnce(stream, node, {}, lateMs),
    async finished () { await Promise.all(clients) },
    killNode (index) {
      dead.add(index)
      nodes.kill(index)
    },
    async killAll () {
      nodes.kill(...zones.keys())
      await Promise.all([...zones.keys()].map(index => nodes.startAgain(index)))
    },
    async stop () {
      stopping.abort()
      nodes.kill(...[...zones.keys()].filter(index => !dead.has(index)))
      for (const engine of engines) engine.leave()
      await Promise.all(clients)
    }
  }
}

export type VersionCounts = {
  streams: number
  /** Streams with events of two versions. */
  joined: number
  /** Streams whose client took them up at a node, while the number of engines of their version served. */
  takenUp: number
  /** Those of them that went on. */
  wentOn: number
}

/** @param minEngines - of the stream's version at a take-up that counts */
export function countStreams (streams: readonly ClientStream[], minEngines = 0): VersionCounts {
  const takeUps = streams.map(({ tries }) => tries.filter(({ takesUp, status, sameVersionEngines }) => takesUp && status !== 0 && sameVersionEngines >= minEngines)).filter(({ length }) => length > 0)
  return {
    streams: streams.length,
    joined: streams.filter(({ versions }) => versions.size > 1).length,
    takenUp: takeUps.length,
    wentOn: takeUps.filter(tries => tries.some(({ events }) => events > 0)).length
  }
}
