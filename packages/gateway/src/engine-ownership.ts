/**
 * Ownership of engines: only an engine's owner gives it commands. The newest owner record of an
 * engine in the fleet log names the owner, and the record's offset is the fencing token. Engines may
 * ignore tokens. A new owner therefore waits until no command of the former owner can arrive. An
 * owner that has not read the end of the log recently gives no commands.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { BackendServer } from './cluster-types'
import { logFreshMs, maxOutageCommandMs, unreachableValidMs } from './log-freshness'
import { eraOf, firstEra, logPosition, offsetOf } from './log-position'
import { createOwnerChallenges, type ChallengeRecord } from './owner-challenges'
import type { FeedRecord, FleetRecord, UnreadableRecord } from './platform-interface'

/** Margin for the delivery of a command and for clocks that run at different rates, in ms. */
const commandMarginMs = 200
/** Engines of a zone for each owner: enough that an owner sees most adapter slots, few enough that its decisions take a small part of a core. */
const enginesPerOwner = 12
/** Minimum capacity of an owner, as a share of the strongest node of its zone. */
const minOwnerCapacityShare = 0.5
/** Time after the start without claims, in ms, so that nodes that start together discover each other first. */
const startupMs = 600

/** `capacity` is the relative processing power of the node. */
export type FleetMember = { name: string, zone: string, incarnation: number, capacity: number, state: 'alive' | 'leaving' | 'dead' }

/** Time without a status of an owner after which it is challenged, in ms. It grows with the number of nodes, as the interval of the statuses does. */
const ownerSilentMs = 2500
const ownerSilentPerNodeMs = 40
const ownerSilentMaxMs = 5000
/** Nodes challenge a silent owner, and claim its engines, one after the other, this much apart, in ms; the first one is enough. */
const challengeStaggerMs = 50
const challengeStaggerMaxMs = 500
/**
 * Time after its challenge from which the engines of an owner that stays silent are claimed although it does not count
 * as dead, in ms. Earlier claims would give no earlier commands; the log shows the claim within the difference.
 */
const silentOwnerLostMs = maxOutageCommandMs - logFreshMs - 400

/** Named as the former owner if the store may have lost the record of one. */
export const lostOwner = '(lost)'

export type OwnerTerm = { engine: string, node: string, incarnation: number, token: number }

export type OwnershipConfig = { name: string, incarnation: number, zone: string, capacity: number, leaseMs: number }

/** `after` names the former owner, whose commands may still arrive; `alone`: it is replaced without a majority. */
export type Claim = { engine: string, reason: 'unowned' | 'owner-dead' | 'restarted', after?: string, alone?: true }

export type OwnershipPlan = {
  /** Engines that this node should claim. */
  claims: Claim[]
  /** Challenges of owners that are silent or seem dead to a node without a majority, and this process' answer to one. */
  challenges: ChallengeRecord[]
}

export type EngineOwnership = {
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[], now: number): void
  /**
   * What this node should append to the log.
   *
   * @param era - era of the store up to which this process has read the log
   */
  plan (engines: readonly BackendServer[], members: readonly FleetMember[], now: number, era?: number): OwnershipPlan
  term (engine: string): OwnerTerm | undefined
  /** Engines whose newest owner record names this process. */
  owned (): OwnerTerm[]
  /** Owned engines whose former owner can give no more commands, which is to be recorded in the log. */
  confirmable (now: number): string[]
  /** Owned engines whose records were appended before the era, so that the store may have lost them. */
  recordedBefore (era: number): Omit<Claim, 'reason'>[]
  /** Time from which this process may give the engine commands; undefined if it is not the owner. */
  commandsFrom (engine: string): number | undefined
  /** Records that an owner has sent its status. */
  heard (node: string, now: number): void
  /** Whether most nodes are not known yet to have learned of a claim of this process. */
  unconfirmed (now: number): boolean
  /**
   * Records that a node knows of the log up to `end`.
   *
   * @param nodes - size of the fleet
   */
  nodeKnows (node: string, end: number, nodes: number, now: number): void
  /** Records that a node's process ends and gives no more commands. */
  nodeStopped (node: string, incarnation: number, now: number): void
}

/** `position` is that of the first record of the term; `unconfirmed`: most nodes are not known yet to have learned of it. */
type TermState = OwnerTerm & { position: number, recordedAt: number, commandsFrom: number, after?: string, alone?: true, unconfirmed?: true }

/**
 * Assigns an owner to each engine. The engines of a zone get as few owners as can handle them, since
 * an owner sees only the adapter slots of its own engines. Nodes with different members or engines
 * may disagree; the first claim in the log then wins.
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
  /** Processes that announced their end, by node. */
  const stoppedProcesses = new Map<string, { incarnation: number, at: number }>()
  /** Time from which a former owner can give no more commands, in ms after it has learned of its end. */
  const handoverMs = logFreshMs + cfg.leaseMs + commandMarginMs
  /** Time of the last status of each owner, or of the first look at it. */
  const heardAt = new Map<string, number>()
  /** Positions of the log that nodes know of. */
  const knownEnds = new Map<string, number>()
  const challenges = createOwnerChallenges({ node: cfg.name, incarnation: cfg.incarnation })
  let currentEra: number | undefined
  let eraSince = -Infinity

  function isSelf ({ node, incarnation }: { node: string, incarnation: number }): boolean {
    return node === cfg.name && incarnation === cfg.incarnation
  }

  /** End of a lease that begins once no command of the former owner can arrive. */
  function leaseOf (record: FleetRecord & { type: 'owner' }, previous: TermState | undefined, now: number): Pick<TermState, 'commandsFrom' | 'unconfirmed'> {
    // All processes of a node count as one holder, so there is no former owner to wait for.
    if (record.after === undefined) return { commandsFrom: now }
    const stop = stoppedProcesses.get(record.after)
    const stopped = stop !== undefined && previous !== undefined && previous.node === record.after && stop.incarnation === previous.incarnation
    if (stopped) return { commandsFrom: Math.max(now, stop.at + handoverMs - logFreshMs) }
    // A node that finds others dead one after the other may only believe that it has a majority.
    return { commandsFrom: Math.max(now + handoverMs, outageLeaseEndsAt(record.after, now)), ...(record.alone === true ? {} : { unconfirmed: true }) }
  }

  /** The same if no majority knows of the new owner, so that a former one may give commands in an outage for a while. */
  function outageLeaseEndsAt (after: string, recordedAt: number): number {
    return (challenges.unanswered(after)?.at ?? recordedAt) + maxOutageCommandMs + cfg.leaseMs + commandMarginMs
  }

  /** Most nodes know of the claim, so a former owner no longer has the replies of a majority once earlier ones have expired. */
  function confirm (term: TermState, now: number): void {
    delete term.unconfirmed
    term.commandsFrom = Math.min(term.commandsFrom, Math.max(term.recordedAt + handoverMs, now + unreachableValidMs + cfg.leaseMs + commandMarginMs))
  }

  function applyOwnerRecord (record: FleetRecord & { type: 'owner' }, offset: number, now: number): void {
    const previous = terms.get(record.engine)
    // A copy gives its records positions of the new era; compared are those that they were appended at.
    const token = logPosition(Math.min(record.era ?? Infinity, eraOf(offset)), offsetOf(offset))
    if (previous !== undefined && previous.token >= token) return
    const alreadyOwned = previous !== undefined && isSelf(previous) && isSelf(record)
    const start = { position: offset, recordedAt: now }
    const lease = alreadyOwned ? previous : isSelf(record) ? { ...start, ...leaseOf(record, previous, now) } : { ...start, commandsFrom: Infinity }
    const { position, recordedAt, commandsFrom } = lease
    const unconfirmed = 'unconfirmed' in lease && lease.unconfirmed === true ? { unconfirmed: lease.unconfirmed } : {}
    const after = record.after === undefined ? {} : { after: record.after }
    const alone = record.alone === true ? { alone: record.alone } : {}
    terms.set(record.engine, { engine: record.engine, node: record.node, incarnation: record.incarnation, token, position, recordedAt, commandsFrom, ...after, ...alone, ...unconfirmed })
  }

  function silentAfterMs (members: readonly FleetMember[]): number {
    return Math.min(ownerSilentMaxMs, Math.max(ownerSilentMs, members.length * ownerSilentPerNodeMs))
  }

  /** Delay of this node's challenge of an owner, or of its claim, after those of others. */
  function staggerMs (owner: string, members: readonly FleetMember[]): number {
    const others = members.filter(({ name, state }) => state === 'alive' && name !== cfg.name && name !== owner).map(({ name }) => ({ id: name }))
    const rank = rankNodes(`challenge:${owner}`, [{ id: cfg.name }, ...others]).findIndex(({ id }) => id === cfg.name)
    return Math.min(challengeStaggerMaxMs, rank * challengeStaggerMs)
  }

  /**
   * Whether a silent owner has not answered a challenge for so long that this node replaces it before it knows whether
   * it is dead. The last of many nodes learns of the deaths of the others one after the other. The claim relies on the
   * challenge alone, as one without a majority does.
   */
  function staysSilent (term: TermState, members: readonly FleetMember[], now: number, era: number): boolean {
    // An owner that is leaving keeps its engines.
    if (term.node === cfg.name || members.some(({ name, state }) => name === term.node && state === 'leaving')) return false
    const challenge = challenges.unanswered(term.node)
    if (challenge === undefined || challenges.verdict(term, now, era) !== 'lost') return false
    const heard = heardAt.get(term.node)
    if (heard === undefined || now - heard <= silentAfterMs(members)) return false
    // The challenger reaches the store; it is gone as well if it does not claim.
    return now - challenge.at >= silentOwnerLostMs + (challenge.by === cfg.name ? 0 : staggerMs(term.node, members))
  }

  function claimReason (term: TermState | undefined, states: ReadonlyMap<string, FleetMember['state']>): Claim['reason'] | undefined {
    if (term === undefined) return 'unowned'
    // An earlier process of this node owned the engine.
    if (term.node === cfg.name) return term.incarnation === cfg.incarnation ? undefined : 'restarted'
    // An owner that is leaving keeps its engines: its next process can continue at once, another node only after a lease.
    return (states.get(term.node) ?? 'dead') === 'dead' ? 'owner-dead' : undefined
  }

  function planClaims (engines: readonly BackendServer[], members: readonly FleetMember[], now: number, era: number): { claims: Claim[], challenged: TermState[] } {
    if (era !== currentEra) {
      currentEra = era
      eraSince = now
    }
    const reasons = new Map<string, Claim['reason']>()
    const states = new Map(members.map(({ name, state }) => [name, state]))
    const silent = new Set<string>()
    for (const { id } of engines) {
      const term = terms.get(id)
      if (term !== undefined && staysSilent(term, members, now, era)) silent.add(id)
      const reason = silent.has(id) ? 'owner-dead' : claimReason(term, states)
      if (reason !== undefined) reasons.set(id, reason)
    }
    const claims: Claim[] = []
    const challenged = new Map<string, TermState>()
    const self: FleetMember = { name: cfg.name, zone: cfg.zone, incarnation: cfg.incarnation, capacity: cfg.capacity, state: 'alive' }
    const candidates = [self, ...members.filter(({ name, state }) => state === 'alive' && name !== cfg.name)]
    // Owners continue without the log while most nodes cannot reach it, so replacing one needs a majority, or time.
    const hasMajority = candidates.length > (members.filter(({ name }) => name !== cfg.name).length + 1) / 2
    if (reasons.size === 0) return { claims, challenged: [] }
    const owners = assignOwners(engines, candidates)
    for (const { id } of engines) {
      const term = terms.get(id)
      const reason = reasons.get(id)
      const isOwnNode = term?.node === cfg.name
      if (reason === undefined || (!isOwnNode && (now - startedAt < startupMs || (owners.get(id) !== cfg.name && !silent.has(id))))) continue
      const alone = reason === 'owner-dead' ? !hasMajority || silent.has(id) : term?.alone === true
      if (alone && reason === 'owner-dead') {
        const verdict = challenges.verdict(term!, now, era)
        if (verdict === 'challenge') challenged.set(term!.node, term!)
        if (verdict !== 'lost') continue
      }
      // Owners record their engines again at the start of an era, so only then a record may be missing.
      const mayBeLost = era > firstEra && (term === undefined ? now - eraSince < handoverMs : isOwnNode && eraOf(term.token) < era)
      const after = mayBeLost ? lostOwner : isOwnNode ? term.after : term?.node
      claims.push({ engine: id, reason, ...(after === undefined ? {} : { after }), ...(alone && after !== undefined ? { alone } : {}) })
    }
    return { claims, challenged: [...challenged.values()] }
  }

  /** Owners whose status has not arrived for a while. A challenge early on shortens the wait of a node that turns out to be without a majority. */
  function silentOwners (engines: readonly BackendServer[], members: readonly FleetMember[], now: number, era: number): TermState[] {
    const silent = new Map<string, TermState>()
    const silentMs = silentAfterMs(members)
    for (const { id } of engines) {
      const term = terms.get(id)
      if (term === undefined || term.node === cfg.name || silent.has(term.node)) continue
      const lastAt = heardAt.get(term.node)
      if (lastAt === undefined) heardAt.set(term.node, now)
      else if (now - lastAt > silentMs) silent.set(term.node, term)
    }
    return [...silent.values()].filter(term => now - heardAt.get(term.node)! > silentMs + staggerMs(term.node, members) && challenges.verdict(term, now, era) === 'challenge')
  }

  return {
    apply (records, now) {
      // Before the owner records, whose waits depend on them.
      for (const { offset, value } of records) {
        if (value?.type === 'challenge') challenges.apply(value, offset, now)
      }
      for (const { key, offset, value } of records) {
        if (value?.type === 'owner') applyOwnerRecord(value, offset, now)
        else if (value === undefined) terms.delete(key.replace(/^owner\//, ''))
      }
    },
    plan (engines, members, now, era = 0) {
      const answers: ChallengeRecord[] = challenges.selfChallenged() ? [{ type: 'challenge', node: cfg.name, incarnation: cfg.incarnation }] : []
      const { claims, challenged } = planClaims(engines, members, now, era)
      const owners = new Map([...challenged, ...silentOwners(engines, members, now, era)].map(term => [term.node, term]))
      return { claims, challenges: [...answers, ...[...owners.values()].map(({ node, incarnation }): ChallengeRecord => ({ type: 'challenge', node, incarnation, by: cfg.name }))] }
    },
    term: engine => terms.get(engine),
    owned: () => [...terms.values()].filter(isSelf),
    commandsFrom (engine) {
      const term = terms.get(engine)
      if (term === undefined || !isSelf(term)) return undefined
      return challenges.selfChallenged() ? Infinity : term.commandsFrom
    },
    confirmable: now => [...terms.values()].filter(term => isSelf(term) && term.after !== undefined && term.commandsFrom < now).map(({ engine }) => engine),
    recordedBefore: era => [...terms.values()].filter(term => isSelf(term) && eraOf(term.token) < era).map(({ engine, after, alone }) => ({ engine, ...(after === undefined ? {} : { after }), ...(alone === undefined ? {} : { alone }) })),
    heard (node, now) {
      heardAt.set(node, now)
    },
    unconfirmed: now => [...terms.values()].some(term => isSelf(term) && term.unconfirmed === true && term.commandsFrom > now),
    nodeKnows (node, end, nodes, now) {
      knownEnds.set(node, Math.max(knownEnds.get(node) ?? -1, end))
      for (const term of terms.values()) {
        if (!isSelf(term) || term.unconfirmed !== true) continue
        const others = [...knownEnds].filter(([name, known]) => name !== cfg.name && known > term.position)
        if (others.length + 1 > nodes / 2) confirm(term, now)
      }
    },
    nodeStopped (node, incarnation, now) {
      stoppedProcesses.set(node, { incarnation, at: now })
    }
  }
}
