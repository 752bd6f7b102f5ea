/**
 * Which node gives commands to an engine. The newest owner record of an engine in the fleet log
 * names its owner; its offset is the fencing token. Engines may ignore tokens, so a successor waits
 * until no command of its predecessor can arrive any more, and an owner that has not seen the end
 * of the log recently gives none.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { BackendServer } from './cluster-types'
import type { FeedRecord, FleetRecord, UnreadableRecord } from './platform-interface'

/** Time since its last reading of the log after which an owner gives no commands, in ms: one read of 800 ms and one that is late. */
export const logFreshMs = 1300
/** Margin for a command's way to the engine and for clocks that run at different rates, in ms. */
const commandMarginMs = 200
/** Engines of a zone that one owner takes before the zone gets another: enough that it sees most places for an adapter, few enough that its decisions take a small part of a core. */
const enginesPerOwner = 12
/** Only nodes with this share of the capacity of the strongest node of their zone become owners. */
const minOwnerCapacityShare = 0.5
/** Time for nodes that start together to learn of each other before the first claims, in ms. */
const startupMs = 600

/** `capacity` compares the processing power of nodes. */
export type FleetMember = { name: string, zone: string, incarnation: number, capacity: number, state: 'alive' | 'leaving' | 'dead' }

export type OwnerTerm = { engine: string, node: string, incarnation: number, token: number }

export type OwnershipConfig = { name: string, incarnation: number, zone: string, capacity: number, leaseMs: number }

/** `after` names the other node whose commands may still be on their way. */
export type Claim = { engine: string, reason: 'unowned' | 'owner-dead' | 'restarted', after?: string }

export type EngineOwnership = {
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[], now: number): void
  /** Engines that this node should claim now. */
  claims (engines: readonly BackendServer[], members: readonly FleetMember[], now: number): Claim[]
  term (engine: string): OwnerTerm | undefined
  /** Engines whose newest owner record names this process. */
  owned (): OwnerTerm[]
  /** Owned engines whose former owner can give no more commands, which the log does not say yet. */
  confirmable (now: number): string[]
  /** Time from which this process may give the engine commands; undefined while it is not the owner. */
  commandsFrom (engine: string): number | undefined
  /** A node says that its process ends and gives no more commands. */
  nodeStopped (node: string, incarnation: number, now: number): void
}

type TermState = OwnerTerm & { commandsFrom: number, after?: string }

/**
 * Node that should own each engine. The engines of a zone get as few owners as can carry them, since
 * an owner sees only its own engines' places. Nodes that know different fleets or engines may
 * disagree; the log then keeps the first claim.
 */
function assignOwners (engines: readonly BackendServer[], candidates: readonly FleetMember[]): Map<string, string> {
  const zones = new Map<string, string[]>()
  for (const { id, zone } of engines) zones.set(zone, [...zones.get(zone) ?? [], id])
  const owners = new Map<string, string>()
  for (const [zone, ids] of zones) {
    const inZone = candidates.filter(node => node.zone === zone)
    const nearby = inZone.length > 0 ? inZone : candidates
    const strongest = Math.max(...nearby.map(({ capacity }) => capacity))
    const strong = nearby.filter(({ capacity }) => capacity >= strongest * minOwnerCapacityShare)
    const ranked = rankNodes(`zone:${zone}`, strong.map(({ name }) => ({ id: name }))).slice(0, Math.ceil(ids.length / enginesPerOwner))
    ids.sort().forEach((id, index) => owners.set(id, ranked[index % ranked.length]!.id))
  }
  return owners
}

export function createEngineOwnership (cfg: OwnershipConfig, startedAt: number): EngineOwnership {
  const terms = new Map<string, TermState>()
  /** Processes that said that they end, by node. */
  const stoppedProcesses = new Map<string, { incarnation: number, at: number }>()

  function isSelf ({ node, incarnation }: { node: string, incarnation: number }): boolean {
    return node === cfg.name && incarnation === cfg.incarnation
  }

  /** Time from which no command of the former owner can arrive and a lease has passed since. */
  function leaseEndsAt (record: FleetRecord & { type: 'owner' }, previous: TermState | undefined, now: number): number {
    // One machine is one holder, whatever process of it gave the commands before.
    if (record.after === undefined) return now
    const stop = stoppedProcesses.get(record.after)
    const stopped = stop !== undefined && previous !== undefined && previous.node === record.after && stop.incarnation === previous.incarnation
    return Math.max(now, (stopped ? stop.at : now + logFreshMs) + cfg.leaseMs + commandMarginMs)
  }

  function applyOwnerRecord (record: FleetRecord & { type: 'owner' }, offset: number, now: number): void {
    const previous = terms.get(record.engine)
    if (previous !== undefined && previous.token >= offset) return
    const alreadyOwned = previous !== undefined && isSelf(previous) && isSelf(record)
    const commandsFrom = alreadyOwned ? previous.commandsFrom : isSelf(record) ? leaseEndsAt(record, previous, now) : Infinity
    const after = record.after === undefined ? {} : { after: record.after }
    terms.set(record.engine, { engine: record.engine, node: record.node, incarnation: record.incarnation, token: offset, commandsFrom, ...after })
  }

  function claimReason (term: TermState | undefined, members: readonly FleetMember[]): Claim['reason'] | undefined {
    if (term === undefined) return 'unowned'
    // An earlier process of this machine owned the engine.
    if (term.node === cfg.name) return term.incarnation === cfg.incarnation ? undefined : 'restarted'
    // An owner that is leaving keeps its engines: its next process can go on at once, another node only after a lease.
    const owner = members.find(({ name }) => name === term.node)
    return owner === undefined || owner.state === 'dead' ? 'owner-dead' : undefined
  }

  return {
    apply (records, now) {
      for (const { key, offset, value } of records) {
        if (value?.type === 'owner') applyOwnerRecord(value, offset, now)
        else if (value === undefined) terms.delete(key.replace(/^owner\//, ''))
      }
    },
    claims (engines, members, now) {
      const reasons = new Map<string, Claim['reason']>()
      for (const { id } of engines) {
        const reason = claimReason(terms.get(id), members)
        if (reason !== undefined) reasons.set(id, reason)
      }
      if (reasons.size === 0) return []
      const self: FleetMember = { name: cfg.name, zone: cfg.zone, incarnation: cfg.incarnation, capacity: cfg.capacity, state: 'alive' }
      const candidates = [self, ...members.filter(({ name, state }) => state === 'alive' && name !== cfg.name)]
      // Owners go on without the log while most nodes cannot reach it; a claim needs most nodes as well.
      const hasMajority = candidates.length > (members.filter(({ name }) => name !== cfg.name).length + 1) / 2
      const owners = assignOwners(engines, candidates)
      return engines.flatMap((engine): Claim[] => {
        const term = terms.get(engine.id)
        const reason = reasons.get(engine.id)
        if (reason === undefined || (reason === 'owner-dead' && !hasMajority)) return []
        const ownNode = term?.node === cfg.name
        if (!ownNode && now - startedAt < startupMs) return []
        if (!ownNode && owners.get(engine.id) !== cfg.name) return []
        const after = ownNode ? term.after : term?.node
        return [{ engine: engine.id, reason, ...(after === undefined ? {} : { after }) }]
      })
    },
    term: engine => terms.get(engine),
    owned: () => [...terms.values()].filter(isSelf),
    commandsFrom (engine) {
      const term = terms.get(engine)
      return term !== undefined && isSelf(term) ? term.commandsFrom : undefined
    },
    confirmable: now => [...terms.values()].filter(term => isSelf(term) && term.after !== undefined && term.commandsFrom < now).map(({ engine }) => engine),
    nodeStopped (node, incarnation, now) {
      stoppedProcesses.set(node, { incarnation, at: now })
    }
  }
}

/**
 * How recently this process has seen the end of the fleet log, by its own reads or by what peers
 * say of theirs, and whether the process was suspended meanwhile.
 */
export type LogFreshness = {
  /** A read has been answered and applied; its answer shows the log as of `asOf`. */
  read (asOf: number, next: number): void
  /** A peer read up to `next`, `ageMs` before its message was sent. */
  peerRead (next: number, ageMs: number, now: number): void
  /** The process was suspended: earlier reads prove nothing. */
  suspended (now: number): void
  /** A node, this one included, has just tried to read the log in vain. */
  unreachable (node: string, now: number): void
  /**
   * Whether no other owner can have been recorded: the end of the log was seen recently, or most
   * nodes cannot reach the log. A node claims engines only together with most nodes, so one that
   * still reaches the log would have to be among those that answered.
   *
   * @param nodes - size of the fleet
   */
  excludesNewOwner (now: number, nodes: number): boolean
  ageMs (now: number): number
}

/** Time for which a failed read of a node counts, in ms: nodes are asked several times in it. */
const unreachableValidMs = 1000
/** Longest way of a peer's message, in ms; a message that waited longer cannot be told from a new one. */
const maxPeerDelayMs = 300

export function createLogFreshness (): LogFreshness {
  let freshAt = -Infinity
  let validFrom = -Infinity
  let readOffset = -1
  const unreachableAt = new Map<string, number>()

  function countUnreachable (now: number): number {
    let count = 0
    for (const at of unreachableAt.values()) count += now - at < unreachableValidMs ? 1 : 0
    return count
  }

  function confirmFresh (at: number): void {
    if (at >= validFrom) freshAt = Math.max(freshAt, at)
  }

  return {
    read (asOf, next) {
      readOffset = Math.max(readOffset, next)
      confirmFresh(asOf)
    },
    peerRead (next, ageMs, now) {
      if (next <= readOffset) confirmFresh(now - ageMs - maxPeerDelayMs)
    },
    suspended (now) {
      validFrom = now
      freshAt = -Infinity
      unreachableAt.clear()
    },
    unreachable (node, now) {
      unreachableAt.set(node, now)
    },
    excludesNewOwner: (now, nodes) => now - freshAt <= logFreshMs || countUnreachable(now) > nodes / 2,
    ageMs: now => now - freshAt
  }
}
