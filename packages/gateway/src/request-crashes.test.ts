/** Requests that crash servers, on a virtual clock: nodes that exchange messages, servers that crash and come back. */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import type { EvidenceMessage } from './crash-evidence'
import { createGatewayMetrics } from './gateway-metrics'
import { createPartBlocking, type PartBlocking } from './part-blocking'
import { createRequestCrashes, type RequestCrashes, type RequestRun } from './request-crashes'

const test = suite('requests that crash servers')

const log = { info () {}, warn () {}, error () {} }
/** Time after a fault in which a node need not have learned of it, in ms. */
const contactMs = 3000
/** Retries of the request that may reach servers after the third crash and that time. */
const maxLateRetries = 3
const stepMs = 5
/** Times of the transmissions of a message, in ms. */
const retransmitAtMs = [0, 25, 75, 175]
const tickMs = 250
const restartMs = 4000
const service = 'desk'

type Node = { blocking: PartBlocking, crashes: RequestCrashes }
type SimServer = { server: BackendServer, backAt: number, runs: Set<SimRun> }
type SimRun = { digest: string, node: Node, server: SimServer, run: RequestRun, endsAt: number, sendings: number }

type Cluster = {
  nodes: Node[]
  now: number
  /** Lets a step pass: messages arrive and nodes decide. */
  step (): void
  draw (most: number): number
}

/** @param lossPercent - share of the transmissions between nodes that are lost */
function createCluster (seed: number, count: number, lossPercent = 0): Cluster {
  const rng = xoroshiro128plus(seed)
  const arriving: { at: number, deliver (): void }[] = []
  const cluster: Cluster = {
    nodes: [],
    now: 0,
    draw: most => unsafeUniformIntDistribution(0, most - 1, rng),
    step () {
      cluster.now += stepMs
      for (const message of arriving.splice(0)) {
        if (message.at <= cluster.now) message.deliver()
        else arriving.push(message)
      }
      for (const [index, node] of cluster.nodes.entries()) {
        if ((cluster.now + index * stepMs) % tickMs === 0) node.crashes.tick()
      }
    }
  }
  const post = (deliver: () => void): void => {
    const attempt = retransmitAtMs.findIndex(() => cluster.draw(100) >= lossPercent)
    if (attempt >= 0) arriving.push({ at: cluster.now + retransmitAtMs[attempt]! + 1 + cluster.draw(20), deliver })
  }
  const names = Array.from({ length: count }, (_, index) => `node-${index}`)
  for (const self of names) {
    const now = (): number => cluster.now
    const blocking = createPartBlocking({
      now,
      wallClock: now,
      log: log as never,
      metrics: createGatewayMetrics(),
      notifyPeers (part) {
        for (const other of cluster.nodes.filter(node => node.blocking !== blocking)) post(() => other.blocking.receive(self, part))
      },
      notifyHold (part, forMs) {
        for (const other of cluster.nodes.filter(node => node.blocking !== blocking)) post(() => other.blocking.receiveHold(self, part, forMs))
      },
      record: async () => {}
    })
    const send = (name: string, message: EvidenceMessage): void => post(() => cluster.nodes[names.indexOf(name)]!.crashes.receive(self, message))
    const after = (delayMs: number, deliver: () => void): void => { arriving.push({ at: cluster.now + delayMs, deliver }) }
    cluster.nodes.push({ blocking, crashes: createRequestCrashes({ self, now, log, blocking, nodes: () => names, send, after }) })
  }
  return cluster
}

type Play = { crashes: number, lateRetries: number, refusedSound: number, sound: number }

/**
 * Plays 40 s of three servers with six requests at once each. A crashing request comes every 100 to 500
 * ms at a random node and ends its server after 30 to 110 ms, with all that it runs; sound ones come
 * beside it, of which half are the same. Requests that are lost are sent to another server once.
 */
function play (seed: number, nodeCount: number, lossPercent?: number): Play {
  const cluster = createCluster(seed, nodeCount, lossPercent)
  const { draw, nodes } = cluster
  const servers: SimServer[] = Array.from({ length: 3 }, (_, index) => ({ server: { id: `s${index}`, bornAt: 1 } as BackendServer, backAt: 0, runs: new Set() }))
  const result: Play = { crashes: 0, lateRetries: 0, refusedSound: 0, sound: 0 }
  let thirdCrashAt = Infinity
  let nextCrashing = 2000
  let count = 0

  function send (digest: string, node: Node, sendings: number): void {
    const up = servers.filter(({ backAt, runs }) => backAt <= cluster.now && runs.size < 6)
    const blocked = node.crashes.blocked(digest, []) !== undefined
    if (blocked && digest !== 'crash') result.refusedSound += 1
    if (blocked || up.length === 0) return
    const server = up[draw(up.length)]!
    const crashing = digest === 'crash'
    if (crashing && cluster.now > thirdCrashAt + contactMs) result.lateRetries += 1
    const run = node.crashes.runs({ id: `r${++count}`, digest, service, deadlineAt: cluster.now + 1000 }).start(server.server)
    server.runs.add({ digest, node, server, run, endsAt: cluster.now + (crashing ? 30 + draw(80) : 20 + draw(60)), sendings })
  }

  function crash (server: SimServer): void {
    result.crashes += 1
    if (result.crashes === 3) thirdCrashAt = cluster.now
    const lost = [...server.runs]
    server.runs.clear()
    server.backAt = cluster.now + restartMs
    server.server = { ...server.server, id: `${server.server.id}+` }
    for (const { run } of lost) run.ended('disconnected')
    for (const { digest, node, sendings } of lost) {
      if (sendings < 2) send(digest, node, sendings + 1)
    }
  }

  for (; cluster.now < 40_000; cluster.step()) {
    if (draw(100) < 7) {
      result.sound += 1
      send(draw(2) === 0 ? 'popular' : `sound-${result.sound}`, nodes[draw(nodes.length)]!, 1)
    }
    if (cluster.now >= nextCrashing) {
      nextCrashing = cluster.now + 100 + draw(400)
      send('crash', nodes[draw(nodes.length)]!, 1)
    }
    for (const server of servers) {
      for (const entry of [...server.runs]) {
        if (entry.endsAt > cluster.now || !server.runs.has(entry)) continue
        if (entry.digest === 'crash') {
          crash(server)
          break
        }
        server.runs.delete(entry)
        entry.run.responded()
        entry.run.ended('ok')
      }
    }
  }
  return result
}

const fleets: [name: string, nodes: number, lossPercent: number][] = [['three nodes', 3, 0], ['nine nodes', 9, 0], ['60 nodes', 60, 0], ['nine nodes that lose a fifth of their messages', 9, 20]]

for (const [name, nodes, lossPercent] of fleets) {
  // Guards against a request that comes at ever other nodes, and against refusing what was lost beside it.
  test(`a request that crashes servers is refused in time by ${name}, and sound ones are not`, () => {
    for (let seed = 1; seed <= 40; seed++) {
      const { crashes, lateRetries, refusedSound } = play(seed, nodes, lossPercent)
      assert.ok(crashes >= 3)
      assert.ok(lateRetries <= maxLateRetries, `seed ${seed}: ${lateRetries} late retries, ${crashes} crashes`)
      assert.is(refusedSound, 0, `seed ${seed}`)
    }
  })
}

// Guards against refusing what many callers ask for, because all servers lost power while they ran it.
test('a request that was lost with all servers at once is refused for seconds only', () => {
  const cluster = createCluster(1, 3)
  const passTime = (ms: number): void => {
    for (const endAt = cluster.now + ms; cluster.now < endAt;) cluster.step()
  }
  const run = (digest: string, node: number, server: string): RequestRun => cluster.nodes[node]!.crashes.runs({ id: 'r', digest, service, deadlineAt: cluster.now + 1000 }).start({ id: server, bornAt: 1 } as BackendServer)
  const isRefused = (): boolean => cluster.nodes.some(({ crashes }) => crashes.blocked('popular', []) !== undefined)
  const lost = [0, 1, 2].flatMap(node => ['s1', 's2', 's3', 's4'].map(server => run('popular', node, server)))
  passTime(50)
  for (const { ended } of lost) ended('disconnected')
  passTime(5000)
  for (let count = 0; count < 150; count++) {
    const other = run(`other-${count}`, count % 3, 's5')
    other.responded()
    other.ended('ok')
    passTime(100)
  }
  assert.is(isRefused(), false)
})

test.run()
