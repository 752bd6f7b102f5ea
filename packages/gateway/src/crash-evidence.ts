/**
 * Finds prompt parts that crash the engines of all requests with them, and whole requests that crash
 * every server that runs them: to a request that comes again, its key is a part that its repeats share.
 * A crash breaks off every request of its engine, and most of these are not its cause. A part is
 * therefore suspected of a crash only if its request had not sent events for a while, and a request
 * that has sent them clears all its parts.
 */

import type { RunOutcome } from './engine-scheduler'
import { fieldsCheck, isCount, isName, isOneOf, isTextList, optional } from './field-checks'

export type PromptRun = {
  id: string
  service: string
  /** Identifies one start of the engine, or of the plain server. */
  engine: string
  /** Ids of the parts that other requests may share. */
  parts: string[]
  /** Given if two crashes of the same part can follow one another within the time of one. */
  startedAt?: number
  deadlineAt: number
}

/** A request whose engine broke off before the request could clear its parts. */
export type EngineLoss = {
  id: string
  service: string
  engine: string
  parts: string[]
  /** Time for which the request had been at the engine, in ms, if that is known. */
  ranMs?: number
}

export type ClearedParts = { service: string, parts: string[] }

/** A part that is about to be blocked; `sinceMs` is the age of the first crash that counts against it. */
export type SuspectedPart = { service: string, part: string, sinceMs: number }

/** What nodes tell each other. A node that has seen sound requests since then replies to `suspected` with `cleared`. */
export type EvidenceMessage =
  | { kind: 'loss', loss: EngineLoss }
  | { kind: 'cleared', cleared: ClearedParts }
  | { kind: 'suspected', suspected: SuspectedPart }

const isLoss = fieldsCheck<EngineLoss>({ id: isName, service: isName, engine: isName, parts: isTextList, ranMs: optional(isCount) })
const isCleared = fieldsCheck<ClearedParts>({ service: isName, parts: isTextList })
const isSuspected = fieldsCheck<SuspectedPart>({ service: isName, part: isName, sinceMs: isCount })
const isLossMessage = fieldsCheck<EvidenceMessage & { kind: 'loss' }>({ kind: isOneOf(['loss']), loss: isLoss })
const isClearedMessage = fieldsCheck<EvidenceMessage & { kind: 'cleared' }>({ kind: isOneOf(['cleared']), cleared: isCleared })
const isSuspectedMessage = fieldsCheck<EvidenceMessage & { kind: 'suspected' }>({ kind: isOneOf(['suspected']), suspected: isSuspected })

/** @param value - parsed JSON of a peer */
export function isEvidenceMessage (value: unknown): value is EvidenceMessage {
  return isLossMessage(value) || isClearedMessage(value) || isSuspectedMessage(value)
}

export type EvidenceAction =
  | { type: 'share', message: EvidenceMessage }
  /** All nodes are to be asked whether they have seen sound requests. */
  | { type: 'ask', suspected: SuspectedPart }
  /** The answer to the node whose message was received. */
  | { type: 'reply', message: EvidenceMessage }
  /** The part crashed these engines. */
  | { type: 'block', part: string, engines: string[] }
  /** The part probably crashed these engines, but they may have been lost at once, or no request of the service was sound since: it is refused until more is known. */
  | { type: 'hold', part: string, engines: string[], forMs: number }

export type CrashEvidenceOptions = {
  isBlocked (part: string): boolean
  /** Whether the part was blocked before; the next crash with it is enough then. */
  wasBlocked (part: string): boolean
  /** Whether all nodes are asked before a part is blocked, since most of them have seen none of its crashes. */
  asksAll?: boolean
}

export type CrashEvidence = {
  started (run: PromptRun): void
  firstEvent (id: string, now: number): void
  ended (id: string, outcome: RunOutcome, now: number): EvidenceAction[]
  /** Applies what another node has seen. */
  receive (message: EvidenceMessage, now: number): EvidenceAction[]
  /** Decides which parts are blocked. */
  tick (now: number): EvidenceAction[]
}

/** Crashes after which a part is blocked: in two of them, parts of requests that merely wait at the same engines can coincide. */
const crashesToBlock = 3
/** Crashes after which a part is blocked that was sound before, or that cannot be told from another one. */
const crashesToBlockInDoubt = 5
/** Crashes closer together than this count as one, in ms: engines that share a cause such as a rack end at once. */
const crashSpacingMs = 100
/** Longest time by which the reports of two crashes are delayed differently, in ms. */
const reportSkewMs = 20
/** Age from which a crash counts, in ms: until then, the nodes report the requests that it broke off. */
export const settleMs = 150
/** Time after its first event from which a request counts as sound, in ms: an engine that crashes on a part does so within its first tokens. */
const soundAfterMs = 300
/** Time in which nodes reply to a question, in ms: a few transmissions. */
export const replyMs = 150
/** Interval at which nodes are asked again while a part is suspected and not blocked, in ms. */
const askIntervalMs = 600
/** Limit of the parts that are asked about within that time: each question goes to all nodes. */
const maxAskedParts = 20
/** Time for which a part is held at first, in ms, twice as long each time: servers that crashed are back after some seconds. */
const firstHoldMs = 15_000
const longestHoldMs = 600_000
/** Time for which crashes are remembered, in ms. */
const retentionMs = 300_000
/** Limit of suspected parts; the oldest are dropped. */
const maxSuspects = 2000
/** Limit of parts that are remembered as sound; those that were sound longest ago are dropped. */
const maxSoundParts = 5000
/** A part with more starts than this multiple of another part's is certainly shared by sound requests, which the crashes broke off. */
const maxStartsRatio = 1.5
/** Time after a request's deadline after which a run that was never reported as ended is dropped, in ms. */
const unreportedMs = 1000

type Crash = {
  at: number
  /** Start of the first request with the part that was lost, if it is known. */
  startedAt: number
}

type Suspect = {
  service: string
  part: string
  /** By engine. */
  crashes: Map<string, Crash>
  /** Number of requests with the part that were started since the first of these crashes. */
  starts: number
  /** Time at which all nodes were last asked. */
  askedAt?: number
  hold?: { endsAt: number, forMs: number, crashes: number }
}

type TrackedRun = PromptRun & { firstEventAt?: number, sound: boolean }

function suspectKey (service: string, part: string): string {
  return `${service}/${part}`
}

/** Counts crashes up to a time that are separate events: far enough apart, or of a request that was sent after the crash before. */
function separateCrashes ({ crashes }: Suspect, until: number): number {
  let count = 0
  let lastAt = -Infinity
  for (const { at, startedAt } of [...crashes.values()].sort((left, right) => left.at - right.at)) {
    const separate = at - lastAt >= crashSpacingMs || startedAt >= lastAt - reportSkewMs
    if (!separate || at > until) continue
    count += 1
    lastAt = at
  }
  return count
}

export function createCrashEvidence (options: CrashEvidenceOptions): CrashEvidence {
  const runs = new Map<string, TrackedRun>()
  /** Suspected parts, the one with the oldest first crash first. */
  const suspects = new Map<string, Suspect>()
  /** Time at which a request of the service last proved sound. */
  const lastSoundAt = new Map<string, number>()
  /** Parts of requests that proved sound, with the time of the last one, the one that did so longest ago first. */
  const soundParts = new Map<string, number>()
  /** Engines whose crash is known to be caused by a blocked part, with the time at which that became known. */
  const explained = new Map<string, number>()

  /** @returns those parts that were suspected */
  function clear (service: string, parts: readonly string[], now: number): string[] {
    return parts.filter(part => {
      const key = suspectKey(service, part)
      soundParts.delete(key)
      soundParts.set(key, now)
      if (soundParts.size > maxSoundParts) soundParts.delete(soundParts.keys().next().value!)
      return suspects.delete(key)
    })
  }

  function markSound (run: TrackedRun, now: number): EvidenceAction[] {
    run.sound = true
    lastSoundAt.set(run.service, now)
    const cleared = clear(run.service, run.parts, now)
    return cleared.length === 0 ? [] : [{ type: 'share', message: { kind: 'cleared', cleared: { service: run.service, parts: cleared } } }]
  }

  function isSound ({ firstEventAt }: TrackedRun, now: number): boolean {
    return firstEventAt !== undefined && now - firstEventAt >= soundAfterMs
  }

  function settleRuns (now: number): EvidenceAction[] {
    return [...runs.values()].flatMap(run => !run.sound && isSound(run, now) ? markSound(run, now) : [])
  }

  /** Attributes the crash of an engine to a blocked part, so that it counts against no other. */
  function explain (engine: string, now: number): void {
    explained.set(engine, now)
    for (const [key, { crashes }] of suspects) {
      if (crashes.delete(engine) && crashes.size === 0) suspects.delete(key)
    }
  }

  function firstCrashAt ({ crashes }: Suspect): number {
    return Math.min(...[...crashes.values()].map(({ at }) => at))
  }

  /** While no request of the service is sound, its engines fail for a reason that no single part explains. */
  function isDistinct (suspect: Suspect): boolean {
    return (lastSoundAt.get(suspect.service) ?? -Infinity) > firstCrashAt(suspect)
  }

  /** Whether the other nodes have had the time to clear the part. */
  function isConfirmed ({ askedAt }: Suspect, now: number): boolean {
    return options.asksAll !== true || (askedAt !== undefined && now - askedAt >= replyMs)
  }

  /** Asks about the parts that would be blocked, again and again while they are held and nothing sound is known of their service. */
  function ask (now: number): EvidenceAction[] {
    if (options.asksAll !== true) return []
    const all = [...suspects.values()]
    const isPending = ({ hold, crashes }: Suspect): boolean => hold === undefined || now < hold.endsAt || crashes.size > hold.crashes
    const isAsked = ({ askedAt }: Suspect): boolean => askedAt !== undefined && now - askedAt < askIntervalMs
    const due = all.filter(suspect => isPending(suspect) && !isAsked(suspect) && suspect.crashes.size >= crashesNeeded(suspect))
      .sort((left, right) => (left.askedAt ?? 0) - (right.askedAt ?? 0))
    return due.slice(0, Math.max(0, maxAskedParts - all.filter(isAsked).length)).map(suspect => {
      suspect.askedAt = now
      return { type: 'ask', suspected: { service: suspect.service, part: suspect.part, sinceMs: now - firstCrashAt(suspect) } }
    })
  }

  /** @returns the reply if requests of the service, and perhaps with the part, were sound since the first crash */
  function answer ({ service, part, sinceMs }: SuspectedPart, now: number): EvidenceAction[] {
    if ((lastSoundAt.get(service) ?? -Infinity) <= now - sinceMs) return []
    const isPartSound = (soundParts.get(suspectKey(service, part)) ?? -Infinity) > now - sinceMs
    return [{ type: 'reply', message: { kind: 'cleared', cleared: { service, parts: isPartSound ? [part] : [] } } }]
  }

  function crashesNeeded ({ service, part }: Suspect): number {
    if (options.wasBlocked(part)) return 1
    return soundParts.has(suspectKey(service, part)) ? crashesToBlockInDoubt : crashesToBlock
  }

  /** @returns the parts in the most crashes and of these the ones in the fewest requests; several if they cannot be told apart */
  function culprits (now: number): Suspect[] {
    const counted = [...suspects.values()].map(suspect => ({ suspect, crashes: separateCrashes(suspect, now - settleMs) }))
    const candidates = counted.filter(({ suspect, crashes }) => crashes >= crashesNeeded(suspect) && isDistinct(suspect) && isConfirmed(suspect, now))
    if (candidates.length === 0) return []
    const most = Math.max(...candidates.map(({ crashes }) => crashes))
    const worst = candidates.filter(({ crashes }) => crashes === most).map(({ suspect }) => suspect)
    const leastStarts = Math.min(...worst.map(({ starts }) => starts))
    const inDoubt = worst.filter(({ starts }) => starts <= leastStarts * maxStartsRatio).length > 1
    return inDoubt && most < crashesToBlockInDoubt ? [] : worst.filter(({ starts }) => starts === leastStarts)
  }

  /** Holds parts that nothing has cleared, but that may have crashed no engine: all were lost at once, or nothing is sound yet. */
  function holdSuspects (now: number): EvidenceAction[] {
    if (options.asksAll !== true) return []
    const isDue = ({ hold, crashes }: Suspect): boolean => hold === undefined || (now >= hold.endsAt && crashes.size > hold.crashes)
    const due = [...suspects.values()].filter(suspect => isDue(suspect) && suspect.crashes.size >= crashesNeeded(suspect) && isConfirmed(suspect, now))
    return due.map(suspect => {
      const forMs = Math.min(longestHoldMs, suspect.hold === undefined ? firstHoldMs : 2 * suspect.hold.forMs)
      suspect.hold = { endsAt: now + forMs, forMs, crashes: suspect.crashes.size }
      return { type: 'hold', part: suspect.part, engines: [...suspect.crashes.keys()], forMs }
    })
  }

  function decide (now: number): EvidenceAction[] {
    return culprits(now).map(({ service, part, crashes }) => {
      const engines = [...crashes.keys()]
      suspects.delete(suspectKey(service, part))
      for (const engine of engines) explain(engine, now)
      return { type: 'block', part, engines }
    })
  }

  function recordLoss ({ service, engine, parts, ranMs }: EngineLoss, now: number): void {
    if (explained.has(engine)) return
    if (parts.some(part => options.isBlocked(part))) return explain(engine, now)
    for (const part of parts) {
      const key = suspectKey(service, part)
      const suspect = suspects.get(key) ?? { service, part, crashes: new Map<string, Crash>(), starts: 1 }
      suspects.set(key, suspect)
      if (!suspect.crashes.has(engine)) suspect.crashes.set(engine, { at: now, startedAt: ranMs === undefined ? -Infinity : now - ranMs })
    }
    while (suspects.size > maxSuspects) suspects.delete(suspects.keys().next().value!)
  }

  function forget (now: number): void {
    for (const [engine, at] of explained) {
      if (now - at > retentionMs) explained.delete(engine)
    }
    for (const [key, { crashes }] of suspects) {
      for (const [engine, { at }] of crashes) {
        if (now - at > retentionMs) crashes.delete(engine)
      }
      if (crashes.size === 0) suspects.delete(key)
    }
    for (const run of runs.values()) {
      if (now > run.deadlineAt + unreportedMs) runs.delete(run.id)
    }
  }

  return {
    started (run) {
      runs.set(run.id, { ...run, sound: false })
      for (const part of run.parts) {
        const suspect = suspects.get(suspectKey(run.service, part))
        if (suspect !== undefined) suspect.starts += 1
      }
    },
    firstEvent (id, now) {
      const run = runs.get(id)
      if (run !== undefined) run.firstEventAt ??= now
    },
    ended (id, outcome, now) {
      const run = runs.get(id)
      runs.delete(id)
      if (run === undefined || run.sound) return []
      if (isSound(run, now) || (run.firstEventAt !== undefined && outcome === 'ok')) return markSound(run, now)
      if (outcome !== 'disconnected' || run.parts.length === 0) return []
      const { service, engine, parts, startedAt } = run
      const loss = { id, service, engine, parts, ...(startedAt === undefined ? {} : { ranMs: now - startedAt }) }
      const settled = settleRuns(now)
      recordLoss(loss, now)
      return [...settled, { type: 'share', message: { kind: 'loss', loss } }]
    },
    receive (message, now) {
      if (message.kind === 'suspected') return [...settleRuns(now), ...answer(message.suspected, now)]
      if (message.kind === 'cleared') {
        lastSoundAt.set(message.cleared.service, now)
        clear(message.cleared.service, message.cleared.parts, now)
        return []
      }
      const settled = settleRuns(now)
      recordLoss(message.loss, now)
      return settled
    },
    tick (now) {
      forget(now)
      return [...settleRuns(now), ...decide(now), ...holdSuspects(now), ...ask(now)]
    }
  }
}
