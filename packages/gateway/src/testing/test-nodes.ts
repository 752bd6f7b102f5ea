/** Complete nodes on the loopback interface that share an in-memory platform. */
import { request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createDecisionLog } from '../decision-log'
import { createGateway, type Gateway } from '../gateway'
import { createGatewayMetrics } from '../gateway-metrics'
import type { Bounds, NodeSettings, Platform } from '../platform-interface'
import { createFakePlatform, type FakePlatform } from './fake-platform'
import { freePorts } from './free-ports'

const testBounds: Bounds = { drainMs: 2000, graceMs: 1000, configApplyMs: 2000, retryRatio: 0.2, retryWindowMs: 10_000, retrySlack: 50, leaseMs: 3000, versionMs: 5000, addressTtlMaxMs: 5000 }

const portCount = 6

/** @param ports - six free ports of the loopback interface, of which the fifth is left for metrics */
export function testNodeSettings (name: string, zone: string, ports: number[], bounds: Partial<Bounds> = {}): NodeSettings {
  const [front, ready, directory, control, , peers] = ports as [number, number, number, number, number, number]
  const loopback = (port: number): { host: string, port: number } => ({ host: '127.0.0.1', port })
  return {
    name,
    zone,
    ip: '127.0.0.1',
    peerPorts: [peers, peers],
    front: loopback(front),
    ready: loopback(ready),
    directory: loopback(directory),
    control: loopback(control),
    seeds: [],
    cpuShare: 1,
    bounds: { ...testBounds, ...bounds }
  }
}

export type LogLine = { event: string, [field: string]: unknown }

export type TestNodes = {
  platform: FakePlatform
  gateways: Gateway[]
  settings: NodeSettings[]
  /** Ports at which the nodes accept requests of clients. */
  fronts: number[]
  /** Log lines of all nodes. */
  lines: LogLine[]
  /** Stops a node and starts a new process of it. */
  restart (index: number): Promise<void>
  /** Ends nodes at once, without their leave. */
  kill (...indexes: number[]): void
  /** Starts a new process of a node that was killed. */
  startAgain (index: number): Promise<void>
  stop (): Promise<void>
}

/**
 * @param zones - zone of each node
 * @param replacements - creates the parts of a node's platform that replace those of the fake one
 */
export async function startTestNodes (zones: string[], bounds: Partial<Bounds> = {}, replacements: (platform: FakePlatform, index: number) => Partial<Platform> = () => ({})): Promise<TestNodes> {
  const lines: LogLine[] = []
  const settings: NodeSettings[] = []
  const gateways: Gateway[] = []
  const killed = new Set<number>()
  const allPorts = await freePorts(portCount * zones.length)
  let platform: FakePlatform | undefined

  async function startNode (index: number): Promise<void> {
    const nodeSettings = settings[index]!
    const log = createDecisionLog(nodeSettings.name, { write: line => { lines.push(JSON.parse(line) as LogLine) }, flush: async () => {}, dropped: () => 0 })
    platform ??= createFakePlatform(nodeSettings)
    const metricsAddress = { port: allPorts[index * portCount + 4]!, path: '/metrics' }
    const gateway = createGateway({ platform: { ...platform, ...replacements(platform, index), settings: nodeSettings }, log, metrics: createGatewayMetrics(), metricsAddress, now: () => performance.now(), random: Math.random })
    gateways[index] = gateway
    await gateway.start()
  }

  for (const [index, zone] of zones.entries()) {
    settings.push(testNodeSettings(`node-${index + 1}`, zone, allPorts.slice(index * portCount, (index + 1) * portCount), bounds))
    await startNode(index)
  }
  return {
    platform: platform!,
    gateways,
    settings,
    fronts: settings.map(({ front }) => front.port),
    lines,
    async restart (index) {
      await gateways[index]!.stop()
      await startNode(index)
    },
    kill (...indexes) {
      for (const index of indexes) {
        gateways[index]!.abort()
        killed.add(index)
      }
    },
    async startAgain (index) {
      killed.delete(index)
      await startNode(index)
    },
    stop: async () => { await Promise.all(gateways.filter((_, index) => !killed.has(index)).map(gateway => gateway.stop())) }
  }
}

/** `status` is 0 if the connection ended without a response. */
export type TestOutcome = { id: string, sentAt: number, afterMs: number, status: number, complete: boolean, body: string, retryAfter?: string }

/** Sends one request on a new connection. */
export function sendTestRequest (port: number, path: string, id: string, headers: Record<string, string> = {}, method = 'POST'): Promise<TestOutcome> {
  const sentAt = performance.now()
  return new Promise(resolve => {
    const done = (outcome: Pick<TestOutcome, 'status' | 'complete' | 'body' | 'retryAfter'>): void => resolve({ id, sentAt, afterMs: performance.now() - sentAt, ...outcome })
    const req = request({ host: '127.0.0.1', port, path, method, agent: false, headers: { host: 'a.example', 'x-id': id, ...headers } }, res => {
      let body = ''
      const retryAfter = res.headers['retry-after']
      const received = (complete: boolean): void => done({ status: res.statusCode ?? 0, complete, body, ...(retryAfter === undefined ? {} : { retryAfter }) })
      res.on('data', chunk => { body += String(chunk) })
      res.on('end', () => received(true))
      res.on('error', () => received(false))
    })
    req.on('error', () => done({ status: 0, complete: false, body: '' }))
    req.end()
  })
}

/** Sends requests at an interval and waits for their outcomes. */
export async function sendEvery (intervalMs: number, ms: number, send: () => Promise<TestOutcome>): Promise<TestOutcome[]> {
  const outcomes: Promise<TestOutcome>[] = []
  const startedAt = performance.now()
  for (let next = startedAt; next < startedAt + ms; next += intervalMs) {
    await sleep(Math.max(0, next - performance.now()))
    outcomes.push(send())
  }
  return await Promise.all(outcomes)
}

/** Time in which nodes must begin to serve, in ms. */
const startMs = 8000

/** Sends one request to each node until all are served. */
export async function untilServed (nodes: Pick<TestNodes, 'fronts'>, send: (front: number) => Promise<TestOutcome>): Promise<void> {
  const end = performance.now() + startMs
  while (!(await Promise.all(nodes.fronts.map(send))).every(({ status }) => status === 200)) {
    if (performance.now() > end) throw new Error(`the nodes do not serve within ${startMs} ms`)
    await sleep(50)
  }
}

export function countServed (outcomes: readonly TestOutcome[]): number {
  return outcomes.filter(({ status, complete }) => status === 200 && complete).length
}
