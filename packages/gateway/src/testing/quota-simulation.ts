/** Simulates the limit of one account over many nodes with a virtual clock and without a network. */
import { rankNodes } from '@yuccawharf/coordination'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { Account, AccountQuota } from '../cluster-types'
import type { FleetMember } from '../engine-ownership'
import type { PeerMessage } from '../peer-link'
import type { QuotaTolerance } from '../quota-ledger'
import { createQuotas, type Quotas } from '../quotas'
import { createVirtualTime } from './virtual-time'

export type QuotaSimulation = {
  seed: number
  nodes: number
  seconds: number
  quota: AccountQuota
  tolerance: QuotaTolerance
  /** Requests per second over all nodes, and the cost of each. */
  perSecond: number
  cost: number
  /** Nodes that get requests; all by default. */
  clients?: number[]
  /** Faults by time in s. */
  faults: { at: number, apply (faults: QuotaFaults): void }[]
}

export type QuotaFaults = {
  /** Index of the account's owner while all nodes live, or of the nodes in its place. */
  owner (rank?: number): number
  kill (...nodes: number[]): void
  start (...nodes: number[]): void
  suspend (node: number): void
  /** Stops the process; the monotonic clock runs on, unlike in a suspension. */
  stop (node: number): void
  /** Ends a suspension or a stop. */
  resume (node: number): void
  /** Cuts the nodes off from the others, not from each other. */
  cut (...nodes: number[]): void
  /** Cuts the link between two nodes that other nodes still reach. */
  cutLink (left: number, right: number): void
  /** Ends all cuts. */
  heal (): void
}

export type QuotaSimulationResult = {
  requests: number
  refused: number
  unavailable: number
  /** Largest sum in a window over what the limit and its tolerance allow. */
  windowShare: number
  /** Bytes of messages of a node per second. */
  bytesPerSecond: number
  admittedPerSecond: number
}

/** One way of a datagram, in ms. */
const delayMs = 1
/** Interval of failure detection, and time from a missed probe until a node is taken for dead, in ms. */
const probeMs = 500
const deadAfterMs = 1600
/** Bytes of a datagram beyond its payload: address, kind, position. */
const frameBytes = 90
/** Time for which the nodes run before requests arrive, in ms. */
const warmUpMs = 10_000
const account = 'acme'

type Node = { quotas: Quotas, incarnation: number, alive: boolean, offsetMs: number, endedAt: number, suspendedAt?: number, clockRuns?: boolean, backlog: (() => void)[], probes: number[], dead: Set<number>, members: FleetMember[] }

export async function simulateQuota (load: QuotaSimulation): Promise<QuotaSimulationResult> {
  const time = createVirtualTime(0)
  const rng = xoroshiro128plus(load.seed)
  const draw = (count: number): number => unsafeUniformIntDistribution(0, count - 1, rng)
  const names = Array.from({ length: load.nodes }, (_, index) => `node-${index}`)
  const indexes = new Map(names.map((name, index) => [name, index]))
  const ranked = rankNodes(`quota/${account}`, names.map(id => ({ id }))).map(({ id }) => indexes.get(id)!)
  const nodes: Node[] = []
  const admissions: { at: number, cost: number }[] = []
  let cutOff = new Set<number>()
  let cutLink: [number, number] | undefined
  const result = { requests: 0, refused: 0, unavailable: 0, bytes: 0 }

  const isLinked = (left: number, right: number): boolean => nodes[left]!.alive && nodes[right]!.alive && cutOff.has(left) === cutOff.has(right) && !(cutLink?.includes(left) === true && cutLink.includes(right))
  /** Whether failure detection finds the node, which asks others to probe it. */
  const isFound = (left: number, right: number): boolean => isLinked(left, right) || (cutLink !== undefined && names.some((_, index) => isLinked(left, index) && isLinked(index, right)))
  const listMembers = (index: number, dead: Set<number>): FleetMember[] => names.flatMap((name, other) => other === index ? [] : { name, zone: 'a', incarnation: 1, capacity: 1, state: dead.has(other) ? 'dead' : 'alive' })

  /** Runs what a process would handle, after a suspension if there is one. */
  function runIn (index: number, incarnation: number, callback: () => void): void {
    const node = nodes[index]!
    if (!node.alive || node.incarnation !== incarnation) return
    if (node.suspendedAt === undefined) callback()
    else node.backlog.push(callback)
  }

  function send (from: number, to: number, message: PeerMessage): void {
    const { incarnation } = nodes[from]!
    result.bytes += 2 * (JSON.stringify(message.payload).length + frameBytes)
    time.after(delayMs, () => {
      if (isLinked(from, to)) runIn(to, nodes[to]!.incarnation, () => nodes[to]!.quotas.receive({ node: names[from]!, incarnation }, message))
    })
  }

  function start (index: number): void {
    const incarnation = (nodes[index]?.incarnation ?? 0) + 1
    const node: Node = { quotas: undefined as unknown as Quotas, incarnation, alive: true, offsetMs: draw(1e9), endedAt: -Infinity, backlog: [], probes: [], dead: new Set(), members: listMembers(index, new Set()) }
    const now = (): number => (node.clockRuns === true ? time.now() : node.suspendedAt ?? time.now()) + node.offsetMs
    node.quotas = createQuotas({
      self: { node: names[index]!, incarnation },
      now,
      suspensions: { endedAt: () => node.endedAt },
      after: (ms, callback) => { time.after(ms, () => runIn(index, incarnation, callback)) },
      members: () => node.members,
      leaving: () => false,
      tolerance: () => load.tolerance,
      quota: () => load.quota,
      notify: (to, message) => { if (node.alive && node.incarnation === incarnation) send(index, indexes.get(to)!, message) },
      log: { info () {}, warn () {} },
      metrics: { quotaUnits () {}, quotaLevel () {} }
    })
    nodes[index] = node
  }

  function setDead (index: number, other: number, dead: boolean): void {
    const node = nodes[index]!
    if (index === other || node.dead.has(other) === dead) return
    if (dead) node.dead.add(other)
    else node.dead.delete(other)
    node.members = listMembers(index, node.dead)
  }

  /** Tells the nodes that the prober reaches what it has found. */
  function spread (from: number, other: number, dead: boolean): void {
    for (const index of nodes.keys()) {
      if ((index === from || isLinked(from, index)) && isFound(index, other) !== dead) setDead(index, other, dead)
    }
  }

  function probe (index: number): void {
    time.after(probeMs, () => probe(index))
    const { incarnation, alive, suspendedAt } = nodes[index]!
    if (!alive || suspendedAt !== undefined || load.nodes === 1) return
    // All nodes in turn, in random order.
    const { probes } = nodes[index]!
    if (probes.length === 0) probes.push(...names.keys())
    const drawn = probes.splice(draw(probes.length), 1)[0]!
    const other = drawn === index ? (index + 1) % load.nodes : drawn
    if (isFound(index, other) && nodes[other]!.suspendedAt === undefined) {
      spread(index, other, false)
      if (!isLinked(index, other)) return
      for (const [to, from] of [[other, index], [index, other]] as const) nodes[to]!.quotas.receive({ node: names[from]!, incarnation: nodes[from]!.incarnation }, { kind: 'member', payload: null })
    } else {
      time.after(deadAfterMs, () => { if (nodes[index]!.incarnation === incarnation && (!isFound(index, other) || nodes[other]!.suspendedAt !== undefined)) spread(index, other, true) })
    }
  }

  const faults: QuotaFaults = {
    owner: (rank = 0) => ranked[rank]!,
    kill (...killed) { for (const index of killed) nodes[index]!.alive = false },
    start (...started) { for (const index of started) start(index) },
    suspend (index) { Object.assign(nodes[index]!, { suspendedAt: time.now(), clockRuns: false }) },
    stop (index) { Object.assign(nodes[index]!, { suspendedAt: time.now(), clockRuns: true }) },
    resume (index) {
      const node = nodes[index]!
      const { suspendedAt, clockRuns } = node
      delete node.suspendedAt
      // The monotonic clock stands still during a suspension.
      if (clockRuns !== true) {
        node.offsetMs -= time.now() - suspendedAt!
        node.endedAt = time.now() + node.offsetMs
      }
      for (const callback of node.backlog.splice(0)) callback()
    },
    cut (...cut) { cutOff = new Set(cut) },
    cutLink (left, right) { cutLink = [left, right] },
    heal () {
      cutOff = new Set()
      cutLink = undefined
    }
  }

  const client: Account = { name: account, keyDigests: [], quota: load.quota }
  const clients = load.clients ?? [...names.keys()]

  async function request (): Promise<void> {
    const index = clients[draw(clients.length)]!
    const node = nodes[index]!
    // Clients of a process that does not run go elsewhere or fail; both are no matter of the limit.
    if (!node.alive || node.suspendedAt !== undefined) return
    result.requests += 1
    const outcome = await node.quotas.admit(client, { statedTokens: load.cost })
    if (outcome.type === 'admitted') admissions.push({ at: time.now(), cost: load.cost })
    else if (outcome.type === 'over-limit') result.refused += 1
    else result.unavailable += 1
  }

  function requestEvery (): void {
    time.after((500 + draw(1000)) / load.perSecond, requestEvery)
    request().catch(err => { throw err })
  }

  for (const index of names.keys()) {
    start(index)
    time.after(draw(probeMs), () => probe(index))
  }
  // Nodes start before their clients do.
  await time.pass(warmUpMs)
  for (const { at, apply } of load.faults) time.after(at * 1000, () => apply(faults))
  requestEvery()
  await time.pass(load.seconds * 1000)

  const { windowMs, overshoot, slack } = load.tolerance
  const allowed = (load.quota.ratePerSecond * windowMs / 1000 + load.quota.burst) * (1 + overshoot) + slack
  let [largest, sum, first] = [0, 0, 0]
  for (const { at, cost } of admissions) {
    sum += cost
    for (; admissions[first]!.at <= at - windowMs; first++) sum -= admissions[first]!.cost
    largest = Math.max(largest, sum)
  }
  return { ...result, windowShare: largest / allowed, bytesPerSecond: result.bytes / load.nodes / load.seconds, admittedPerSecond: admissions.length * load.cost / load.seconds }
}
