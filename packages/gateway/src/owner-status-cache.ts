/** Caches the status that owners send of their engines and of their position in the logs. */
import type { BackendServer } from './cluster-types'
import { createDatedFact, type DatedFact, type Suspensions } from './dated-fact'
import type { EngineCandidate } from './engine-choice'
import type { EngineStatus } from './engine-scheduler'
import { maxSpeed, maxSpeedAgeMs, minSpeed, type SharedSpeed } from './engine-speed'
import { isCount, isListOf, isName, isPosition, isTextList } from './field-checks'
import { maxDatagramBytes } from './peer-link'

export type OwnedEngineStatus = EngineStatus & { commandable: boolean }

export type OwnerStatus = {
  engines: OwnedEngineStatus[]
  /** Offset up to which the sender has read the fleet log. */
  fleetNext: number
  /** Age of that read, in ms; only nodes of earlier builds use it. */
  fleetAgeMs: number
  operatorNext: number
}

/** `start` tells the starts of one engine apart, since its speed may differ after a restart. */
type PackedSpeed = [speed: number, ageMs: number, start: number]
/** `scopes` are grouped, because names of models are long and repeat: each group is a model followed by its adapters. */
type PackedEngine = [id: string, scopes: string[][], backlogMs: number, running: number, commandable: 0 | 1, loadWaitMs: number, speed?: PackedSpeed]
type PackedStatus = { engines: PackedEngine[], fleetNext: number, fleetAgeMs: number, operatorNext: number }

export type OwnerStatusCache = {
  /** @returns the sender's positions and the number of engines that were left out, or undefined if the message is malformed as a whole */
  receive (from: string, payload: unknown, now: number): (Omit<OwnerStatus, 'engines'> & { unusable: number }) | undefined
  setOwn (node: string, engines: OwnedEngineStatus[], now: number): void
  /** @returns messages that each fit into a datagram; none if nothing has changed and the last ones are younger than `maxMs` */
  encode (status: OwnerStatus, now: number, maxMs: number): PackedStatus[]
  engineStatus (engine: string, now: number): Pick<EngineCandidate, 'commandable' | 'scopes' | 'backlogMs' | 'running' | 'loadWaitMs' | 'ageMs'>
  /** @returns what owners have said of the speed of this start of the engine, unless it is too old */
  sharedSpeed (server: Pick<BackendServer, 'id' | 'bornAt'>, now: number): SharedSpeed | undefined
  /** Time since the newest status of another owner arrived, in ms. */
  heardAgeMs (now: number): number
  /** @returns the engines of which owners have sent a status that is still valid */
  announced (now: number): string[]
  /** Removes what is known of other engines, unless it has just arrived: their entries may not be read yet. */
  retain (ids: ReadonlySet<string>, now: number): void
}

type Load = Pick<EngineStatus, 'backlogMs' | 'running' | 'loadWaitMs'>

/** The adapters are a hint of any age: owners and engines refuse what they no longer have. */
type Entry = { commandable: boolean, scopes: Set<string>, load: DatedFact<Load>, speed: DatedFact<{ speed: number, start: number }> }

/** Modulus that shortens an engine's start time in a message. */
const startModulus = 100_000
/** Ages of speeds are rounded up to this step, in ms. */
const ageStepMs = 1000
/** Backlogs are rounded to this step, in ms; smaller differences do not change a choice. */
const backlogStepMs = 50
/** Age up to which backlog, running requests and load wait of a status are used, in ms. */
const backlogValidMs = 3000
/** Assumed load wait of an engine without a recent status, in ms. */
const defaultLoadWaitMs = 250
const unknownLoad: Load = { backlogMs: 0, running: 0, loadWaitMs: defaultLoadWaitMs }
/** Bytes of a datagram that are reserved for the frame around the engines. */
const reservedBytes = 150

function roundToStep (ms: number): number {
  return Math.round(ms / backlogStepMs) * backlogStepMs
}

const scopeSeparator = '/'

/** Scopes without an adapter form a group with an empty model. */
function packScopes (scopes: readonly string[]): string[][] {
  const groups = new Map<string, string[]>()
  for (const scope of scopes) {
    const end = scope.indexOf(scopeSeparator)
    const model = scope.slice(0, Math.max(0, end))
    const group = groups.get(model) ?? [model]
    groups.set(model, group)
    group.push(scope.slice(end + 1))
  }
  return [...groups.values()]
}

function unpackScopes (groups: readonly string[][]): string[] {
  return groups.flatMap(([model, ...names]) => names.map(name => model === '' ? name : `${model}${scopeSeparator}${name}`))
}

function packSpeed ({ speed, ageMs, bornAt }: NonNullable<EngineStatus['speed']>): PackedSpeed {
  return [Math.round(speed * 100) / 100, Math.ceil(ageMs / ageStepMs) * ageStepMs, bornAt % startModulus]
}

function pack ({ id, scopes, backlogMs, running, commandable, loadWaitMs, speed }: OwnedEngineStatus): PackedEngine {
  const packed: PackedEngine = [id, packScopes(scopes), roundToStep(backlogMs), running, commandable ? 1 : 0, roundToStep(loadWaitMs)]
  if (speed !== undefined) packed.push(packSpeed(speed))
  return packed
}

/** A sender that has not read a feed yet states -1. */
const isReadPosition = (value: unknown): boolean => value === -1 || isPosition(value)

function isPacked (value: unknown): value is Omit<PackedStatus, 'engines'> & { engines: unknown[] } {
  const status = value as Partial<PackedStatus> | null
  return typeof status === 'object' && status !== null && Array.isArray(status.engines) && Number.isFinite(status.fleetAgeMs) && [status.fleetNext, status.operatorNext].every(isReadPosition)
}

/** Nodes of earlier builds state no speed. */
function isPackedSpeed (value: unknown): boolean {
  if (value === undefined) return true
  if (!Array.isArray(value) || !value.every(isCount)) return false
  const [speed, ageMs, start] = value as (number | undefined)[]
  return speed !== undefined && speed >= minSpeed && speed <= maxSpeed && ageMs !== undefined && start !== undefined
}

function isPackedEngine (value: unknown): value is PackedEngine {
  if (!Array.isArray(value)) return false
  const [id, scopes, backlogMs, running, commandable, loadWaitMs, speed] = value as unknown[]
  return isName(id) && isListOf(scopes, isTextList) && [backlogMs, running, loadWaitMs].every(isCount) && (commandable === 0 || commandable === 1) && isPackedSpeed(speed)
}

export function createOwnerStatusCache (suspensions: Suspensions): OwnerStatusCache {
  const entries = new Map<string, Entry>()
  let lastEncoded = ''
  let lastSentAt = -Infinity

  function store ([id, scopes, backlogMs, running, commandable, loadWaitMs, packedSpeed]: PackedEngine, now: number): void {
    const load = createDatedFact<Load>(backlogValidMs, suspensions)
    load.record({ backlogMs, running, loadWaitMs }, now)
    // An owner of an earlier build states no speed; that of the owner before still counts until it is too old.
    const speed = entries.get(id)?.speed ?? createDatedFact(maxSpeedAgeMs, suspensions)
    if (packedSpeed !== undefined) speed.record({ speed: packedSpeed[0], start: packedSpeed[2] }, now - packedSpeed[1])
    entries.set(id, { scopes: new Set(unpackScopes(scopes)), commandable: commandable === 1, load, speed })
  }

  let heardAt = -Infinity

  return {
    receive (_from, payload, now) {
      if (!isPacked(payload)) return undefined
      const { engines, ...positions } = payload
      const usable = engines.filter(isPackedEngine)
      for (const engine of usable) store(engine, now)
      heardAt = now
      return { ...positions, unusable: engines.length - usable.length }
    },
    setOwn (_node, engines, now) {
      for (const engine of engines) store(pack(engine), now)
    },
    encode (status, now, maxMs) {
      const engines = status.engines.map(pack)
      // The counts of running requests change all the time; a change of them alone is not worth a message.
      const encoded = JSON.stringify([engines.map(([id, scopes, backlogMs, , commandable, loadWaitMs]) => [id, scopes, backlogMs, commandable, loadWaitMs]), status.operatorNext, status.fleetNext])
      if (encoded === lastEncoded && now - lastSentAt < maxMs) return []
      lastEncoded = encoded
      lastSentAt = now
      const positions = { fleetNext: status.fleetNext, fleetAgeMs: Number.isFinite(status.fleetAgeMs) ? Math.round(status.fleetAgeMs) : 1e9, operatorNext: status.operatorNext }
      const messages: PackedStatus[] = []
      let bytes = Infinity
      for (const engine of engines) {
        const size = JSON.stringify(engine).length + 1
        if (bytes + size > maxDatagramBytes - reservedBytes) {
          messages.push({ engines: [], ...positions })
          bytes = 0
        }
        messages.at(-1)!.engines.push(engine)
        bytes += size
      }
      return messages
    },
    engineStatus (engine, now) {
      const entry = entries.get(engine)
      const load = entry?.load.read(now)
      return { commandable: entry?.commandable ?? true, scopes: entry?.scopes ?? new Set(), ...load?.value ?? unknownLoad, ageMs: load?.ageMs ?? Infinity }
    },
    sharedSpeed ({ id, bornAt }, now) {
      const fact = entries.get(id)?.speed.read(now)
      return fact === undefined || fact.value.start !== bornAt % startModulus ? undefined : { speed: fact.value.speed, ageMs: fact.ageMs }
    },
    heardAgeMs: now => now - heardAt,
    announced: now => [...entries].filter(([, { load }]) => load.read(now) !== undefined).map(([id]) => id),
    retain (ids, now) {
      for (const [id, { load }] of entries) {
        if (!ids.has(id) && load.read(now) === undefined) entries.delete(id)
      }
    }
  }
}
