/** Replacement of an engine owner by a node without a majority, with a log in memory and no clock. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createEngineOwnership, type EngineOwnership, type FleetMember } from './engine-ownership'
import { createLogFreshness, type LogFreshness } from './log-freshness'
import type { FeedRecord, FleetRecord } from './platform-interface'

const test = suite('owner replacement')

const leaseMs = 3000
const stepMs = 50
/** Time after which a node without contact counts as dead, in ms. */
const deathMs = 2000
const engine: BackendServer = { id: 'e1', bornAt: 1, service: 'llm', address: 'e1:1', zone: 'a', state: 'ready', slots: 1, models: [] }
/** Recorded nodes: the owner, the challenger and others. The challenger ranks first for the engine. */
const names = ['o', 'p2', 'p3', 'p4', 'p5', 'p7', 'p9', 'q1', 'c']

type Faults = {
  /** Time from which the sides cannot reach each other. */
  partedAt: number
  /** Time from which the owner, or its side, cannot reach the store, and until when. */
  ownerCutAt?: number
  sideCutAt?: number
  healedAt?: number
  /** Whether appends of the owner are lost. */
  isMute?: boolean
  /** Nodes on the challenger's side of the partition, without it. */
  companions?: string[]
  /** Time from one death that is noticed to the next, in ms, and whether that of the owner is the last. */
  deathGapMs?: number
  ownerDiesLast?: boolean
  /** Time from which the owner is frozen, and until when. */
  frozen?: [number, number]
}

type Node = { ownership: EngineOwnership, freshness: LogFreshness, next: number, commands: number[] }

/** @returns times at which the former owner and the challenger may give commands */
function play (faults: Faults, endAt: number): { owner: number[], challenger: number[] } {
  const log: FeedRecord<FleetRecord>[] = [{ key: 'owner/e1', offset: 0, value: { type: 'owner', engine: 'e1', node: 'o', incarnation: 1 } }]
  const createNode = (name: string): Node => ({ ownership: createEngineOwnership({ name, incarnation: 1, zone: 'a', capacity: 1, leaseMs }, -5000), freshness: createLogFreshness(), next: 0, commands: [] })
  const owner = createNode('o')
  const challenger = createNode('c')
  const healedAt = faults.healedAt ?? Infinity
  const otherSide = ['c', ...faults.companions ?? ['q1', 'p9']]
  const ownerSide = names.filter(name => !otherSide.includes(name))
  const deaths = faults.ownerDiesLast === true ? ownerSide.toReversed() : ownerSide
  const deathAt = (observer: string, name: string): number => faults.partedAt + deathMs + (observer === 'c' ? deaths.indexOf(name) * (faults.deathGapMs ?? 0) : 0)
  let sideNext = 0

  function read (node: Node, now: number): void {
    node.ownership.apply(log.slice(node.next), now)
    node.next = log.length
    node.freshness.read(now, log.length)
  }

  function append (node: Node, engines: BackendServer[], members: FleetMember[], now: number): void {
    const { claims, challenges } = node.ownership.plan(engines, members, now)
    const name = node === owner ? 'o' : 'c'
    if (node === owner && faults.isMute === true) return
    for (const { engine, after, alone } of claims) {
      log.push({ key: `owner/${engine}`, offset: log.length, value: { type: 'owner', engine, node: name, incarnation: 1, ...(after === undefined ? {} : { after }), ...(alone === undefined ? {} : { alone }) } })
    }
    for (const value of challenges) log.push({ key: `challenge/${value.node}`, offset: log.length, value })
  }

  const membersOf = (own: string, apart: string[], now: number): FleetMember[] => names.filter(name => name !== own).map(name => ({
    name, zone: 'a', incarnation: 1, capacity: 1, state: apart.includes(name) && now > deathAt(own, name) && now < healedAt ? 'dead' : 'alive'
  }))

  for (let now = 0; now < endAt; now += stepMs) {
    const ownerReads = now < (faults.ownerCutAt ?? Infinity) || now >= healedAt
    const sideReads = now < (faults.sideCutAt ?? Infinity) || now >= healedAt
    if (sideReads) sideNext = log.length
    const isFrozen = faults.frozen !== undefined && now >= faults.frozen[0] && now < faults.frozen[1]
    if (!isFrozen) {
      if (ownerReads) {
        read(owner, now)
        append(owner, [engine], membersOf('o', otherSide, now), now)
      } else owner.freshness.unreachable('o', now, owner.freshness.knownEnd())
      for (const peer of ownerSide.slice(1)) {
        if (sideReads) owner.freshness.peerRead(sideNext, now)
        else owner.freshness.unreachable(peer, now, sideNext)
      }
      const from = owner.ownership.commandsFrom('e1')
      if (from !== undefined && from <= now && owner.freshness.excludesNewOwner(now, names.length)) owner.commands.push(now)
      if (now < faults.partedAt) challenger.ownership.heard('o', now)
    }
    read(challenger, now)
    append(challenger, [engine], membersOf('c', ownerSide, now), now)
    for (const name of now < faults.partedAt || now >= healedAt ? names : otherSide) challenger.ownership.nodeKnows(name, challenger.next, names.length, now)
    const from = challenger.ownership.commandsFrom('e1')
    if (from !== undefined && from <= now && challenger.freshness.excludesNewOwner(now, names.length)) challenger.commands.push(now)
  }
  return { owner: owner.commands, challenger: challenger.commands }
}

/** @returns shortest time between commands of the two, in ms; Infinity if only one gave any */
function shortestTurn ({ owner, challenger }: { owner: number[], challenger: number[] }): number {
  return Math.min(...challenger.map(at => Math.min(...owner.map(other => Math.abs(at - other)))), Infinity)
}

// Guards against two owners in turn, if a majority and the former owner are cut from the store but not from the engines.
test('a former owner that is cut off or frozen gives no commands within a lease of those of its successor', () => {
  let replaced = 0
  // Twice a second, and in each step about the time of the challenge.
  const cuts = [...Array.from({ length: 18 }, (_, index) => (index + 1) * 500), 3550, 3600, 3650, 3700, 3750]
  for (const ownerCutAt of cuts) {
    for (const sideCutAt of [ownerCutAt, ownerCutAt + 400, ownerCutAt + 3000, 500]) {
      for (const healedAt of [Infinity, 8000, 11_000, 14_000]) {
        for (const frozen of [undefined, [1500, 4000], [2500, 9000], [ownerCutAt, 13_000]] as ([number, number] | undefined)[]) {
          for (const deaths of [{}, { isMute: true }, { deathGapMs: 1000 }, { deathGapMs: 1200, ownerDiesLast: true, companions: [] }, { deathGapMs: 3000, companions: [] }, { deathGapMs: 3000, ownerDiesLast: true }]) {
            const faults = { partedAt: 1000, ownerCutAt, sideCutAt, ...deaths, ...(healedAt > ownerCutAt ? { healedAt } : {}), ...(frozen === undefined ? {} : { frozen }) }
            const played = play(faults, 20_000)
            assert.ok(shortestTurn(played) >= leaseMs, `${shortestTurn(played)} ms with ${JSON.stringify(faults)}`)
            if (played.challenger.length > 0) replaced += 1
          }
        }
      }
    }
  }
  assert.ok(replaced > 100, `the owner was replaced ${replaced} times`)
})

// Guards against a part of the nodes that takes the engines of owners which work and reach the store.
test('an owner that reaches the store keeps its engine, whoever takes it for dead', () => {
  const { owner, challenger } = play({ partedAt: 1000 }, 30_000)
  assert.equal(challenger, [])
  assert.ok(owner.length > 0.95 * 30_000 / stepMs, `${owner.length} commands`)
})

// Guards against engines without an owner after the loss of most nodes.
test('a node without a majority replaces an owner that is gone', () => {
  const { owner, challenger } = play({ partedAt: 1000, ownerCutAt: 1000, sideCutAt: 1000, frozen: [1000, Infinity] }, 20_000)
  assert.ok(owner.every(at => at < 1000))
  assert.ok(challenger[0]! < 1000 + 12_000, `the first command came at ${challenger[0]} ms`)
})

// Guards against a last node that waits until it has found all others dead, one after the other.
test('the last of nine nodes replaces an owner that it does not know to be dead yet', () => {
  const { challenger } = play({ partedAt: 1000, ownerCutAt: 1000, sideCutAt: 1000, frozen: [1000, Infinity], companions: [], deathGapMs: 1200, ownerDiesLast: true }, 20_000)
  assert.ok(challenger[0]! < 1000 + 12_000, `the first command came at ${challenger[0]} ms`)
})

test.run()
