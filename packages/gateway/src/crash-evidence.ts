/**
 * Finds prompt parts that crash the engines of all requests with them. A crash breaks off every request
 * of its engine, and most of these are not its cause. A part is therefore suspected of a crash only if
 * its request had not sent events for a while, and a request that has sent them clears all its parts.
 */

import type { RunOutcome } from './engine-scheduler'
import { fieldsCheck, isName, isOneOf, isTextList } from './field-checks'

export type PromptRun = {
  id: string
  service: string
  /** Identifies one start of the engine. */
  engine: string
  /** Ids of the parts that other requests may share. */
  parts: string[]
  deadlineAt: number
}

/** A request whose engine broke off before the request could clear its parts. */
export type EngineLoss = { id: string, service: string, engine: string, parts: string[] }

export type ClearedParts = { service: string, parts: string[] }

/** What owners of engines tell each other. */
export type EvidenceMessage = { kind: 'loss', loss: EngineLoss } | { kind: 'cleared', cleared: ClearedParts }

const isLoss = fieldsCheck<EngineLoss>({ id: isName, service: isName, engine: isName, parts: isTextList })
const isCleared = fieldsCheck<ClearedParts>({ service: isName, parts: isTextList })
const isLossMessage = fieldsCheck<EvidenceMessage & { kind: 'loss' }>({ kind: isOneOf(['loss']), loss: isLoss })
const isClearedMessage = fieldsCheck<EvidenceMessage & { kind: 'cleared' }>({ kind: isOneOf(['cleared']), cleared: isCleared })

/** @param value - parsed JSON of a peer */
export function isEvidenceMessage (value: unknown): value is EvidenceMessage {
  return isLossMessage(value) || isClearedMessage(value)
}

export type EvidenceAction =
  | { type: 'share', message: EvidenceMessage }
  /** The part crashed these engines. */
  | { type: 'block', part: string, engines: string[] }

export type CrashEvidenceOptions = {
  isBlocked (part: string): boolean
  /** Whether the part was blocked before; the next crash with it is enough then. */
  wasBlocked (part: string): boolean
}

export type CrashEvidence = {
  started (run: PromptRun): void
  firstEvent (id: string, now: number): void
  ended (id: string, outcome: RunOutcome, now: number): EvidenceAction[]
  /** Applies what another owner has seen. */
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
/** Age from which a crash counts, in ms: until then, the nodes report the requests that it broke off. */
const settleMs = 150
/** Time after its first event from which a request counts as sound, in ms: an engine that crashes on a part does so within its first tokens. */
const soundAfterMs = 300
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

type Suspect = {
  service: string
  part: string
  /** Time of the crash, by engine. */
  crashes: Map<string, number>
  /** Number of requests with the part that were started since the first of these crashes. */
  starts: number
}

type TrackedRun = PromptRun & { firstEventAt?: number, sound: boolean }

function suspectKey (service: string, part: string): string {
  return `${service}/${part}`
}

/** Counts settled crashes that are far enough apart to be separate events. */
function separateCrashes ({ crashes }: Suspect, now: number): number {
  let count = 0
  let lastAt = -Infinity
  for (const at of [...crashes.values()].sort((left, right) => left - right)) {
    if (at - lastAt < crashSpacingMs || now - at < settleMs) continue
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
  /** Parts of requests that proved sound, the one that did so longest ago first. */
  const soundParts = new Set<string>()
  /** Engines whose crash is known to be caused by a blocked part, with the time at which that became known. */
  const explained = new Map<string, number>()

  /** @returns those parts that were suspected */
  function clear (service: string, parts: readonly string[]): string[] {
    return parts.filter(part => {
      const key = suspectKey(service, part)
      soundParts.delete(key)
      soundParts.add(key)
      if (soundParts.size > maxSoundParts) soundParts.delete(soundParts.values().next().value!)
      return suspects.delete(key)
    })
  }

  function markSound (run: TrackedRun, now: number): EvidenceAction[] {
    run.sound = true
    lastSoundAt.set(run.service, now)
    const cleared = clear(run.service, run.parts)
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

  /** While no request of the service is sound, its engines fail for a reason that no single part explains. */
  function isDistinct ({ service, crashes }: Suspect): boolean {
    return (lastSoundAt.get(service) ?? -Infinity) > Math.min(...crashes.values())
  }

  function crashesNeeded ({ service, part }: Suspect): number {
    if (options.wasBlocked(part)) return 1
    return soundParts.has(suspectKey(service, part)) ? crashesToBlockInDoubt : crashesToBlock
  }

  /** @returns the parts in the most crashes and of these the ones in the fewest requests; several if they cannot be told apart */
  function culprits (now: number): Suspect[] {
    const counted = [...suspects.values()].map(suspect => ({ suspect, crashes: separateCrashes(suspect, now) }))
    const candidates = counted.filter(({ suspect, crashes }) => crashes >= crashesNeeded(suspect) && isDistinct(suspect))
    if (candidates.length === 0) return []
    const most = Math.max(...candidates.map(({ crashes }) => crashes))
    const worst = candidates.filter(({ crashes }) => crashes === most).map(({ suspect }) => suspect)
    const leastStarts = Math.min(...worst.map(({ starts }) => starts))
    const inDoubt = worst.filter(({ starts }) => starts <= leastStarts * maxStartsRatio).length > 1
    return inDoubt && most < crashesToBlockInDoubt ? [] : worst.filter(({ starts }) => starts === leastStarts)
  }

  function decide (now: number): EvidenceAction[] {
    return culprits(now).map(({ service, part, crashes }) => {
      const engines = [...crashes.keys()]
      suspects.delete(suspectKey(service, part))
      for (const engine of engines) explain(engine, now)
      return { type: 'block', part, engines }
    })
  }

  function recordLoss ({ service, engine, parts }: EngineLoss, now: number): void {
    if (explained.has(engine)) return
    if (parts.some(part => options.isBlocked(part))) return explain(engine, now)
    for (const part of parts) {
      const key = suspectKey(service, part)
      const suspect = suspects.get(key) ?? { service, part, crashes: new Map<string, number>(), starts: 1 }
      suspects.set(key, suspect)
      if (!suspect.crashes.has(engine)) suspect.crashes.set(engine, now)
    }
    while (suspects.size > maxSuspects) suspects.delete(suspects.keys().next().value!)
  }

  function forget (now: number): void {
    for (const [engine, at] of explained) {
      if (now - at > retentionMs) explained.delete(engine)
    }
    for (const [key, { crashes }] of suspects) {
      for (const [engine, at] of crashes) {
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
      const { service, engine, parts } = run
      const loss = { id, service, engine, parts }
      const settled = settleRuns(now)
      recordLoss(loss, now)
      return [...settled, { type: 'share', message: { kind: 'loss', loss } }]
    },
    receive (message, now) {
      if (message.kind === 'cleared') {
        lastSoundAt.set(message.cleared.service, now)
        clear(message.cleared.service, message.cleared.parts)
        return []
      }
      const settled = settleRuns(now)
      recordLoss(message.loss, now)
      return settled
    },
    tick (now) {
      forget(now)
      return [...settleRuns(now), ...decide(now)]
    }
  }
}
