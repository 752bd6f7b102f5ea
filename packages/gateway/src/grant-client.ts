/**
 * Places at engines: asks the owner of a suitable engine, and another owner when the first refuses
 * or does not answer. Without any owner the node chooses an engine by what it last heard.
 */
import type { BackendServer, ModelDemand } from './cluster-types'
import { cacheScope } from './prompt-cache'
import { chooseWithoutOwner, createUseCounter, rankOwners, type EngineCandidate } from './engine-choice'
import type { RefusalReason, RunOutcome, ScheduledRequest } from './engine-scheduler'

export type GrantRequest = Omit<ScheduledRequest, 'id' | 'node'> & {
  /** Unique to this request for a place. */
  grantId: string
  requestId: string
}

export type Grant = {
  grantId: string
  server: BackendServer
  version?: number
  /** Node that decided; absent when this node chose without an owner. */
  owner?: string
}

export type GrantResult =
  | { type: 'place', grant: Grant }
  | { type: 'refused', reason: RefusalReason | 'no-owner', retryAfterMs: number }

/** What owners and nodes say to each other about places; times are durations, since clocks differ. */
export type GrantMessage =
  | { kind: 'acquire', place: Omit<ScheduledRequest, 'node' | 'objectiveAt' | 'startBy' | 'deadlineAt'> & { objectiveInMs: number, startInMs: number, deadlineInMs: number } }
  | { kind: 'cancel', id: string }
  | { kind: 'first-event', id: string }
  | { kind: 'ended', id: string, outcome: RunOutcome }
  | { kind: 'granted', id: string, engine: string, version?: number }
  | { kind: 'refused', id: string, reason: RefusalReason, retryAfterMs: number }

export type GrantClientEnv = {
  now (): number
  zone: string
  engines (service: string): EngineCandidate[]
  server (id: string): BackendServer | undefined
  /** The process has just started: after an outage of all nodes, owners are about to take their engines back. */
  startingUp (): boolean
  /** Newest announced version of an adapter, if it was ever replaced. */
  newestVersion (scope: string): number | undefined
  /** @returns whether the owner has it; for the own node at once */
  send (owner: string, message: GrantMessage): Promise<boolean>
  log (event: string, fields: Record<string, string | number | boolean | undefined>): void
}

export type GrantClient = {
  acquire (req: GrantRequest): Promise<GrantResult>
  /** The request for a place is no longer wanted. */
  abandon (placeId: string): void
  firstEvent (place: Grant): void
  ended (place: Grant, outcome: RunOutcome): void
  /** Answer of an owner. */
  replyReceived (owner: string, message: GrantMessage & { kind: 'granted' | 'refused' }): void
}

/** Owners that are asked for one request; each costs a round trip. */
const maxOwners = 3
/** An owner that has not answered is asked again at this pace, in ms: it may have ended. */
const askAgainMs = 400
const noOwnerRetryMs = 700
/** Pause before owners are asked again that had no engine because they have just started, in ms. */
const settlingRetryMs = 80
/** An owner that did not acknowledge a request is asked last for this time, in ms. */
const avoidMs = 1000

type Pending = { owner: string, settle (answer: GrantResult | 'lost'): void }

export function createGrantClient (env: GrantClientEnv): GrantClient {
  const pending = new Map<string, Pending>()
  /** Name under which owners know a request for a place at present. */
  const rounds = new Map<string, string>()
  /** Requests that wait until owners that have just started can be asked again. */
  const paused = new Map<string, () => void>()
  const uses = createUseCounter()
  /** Owners that did not acknowledge, with the time until which others are asked first. */
  const avoided = new Map<string, number>()
  /** Requests that this node has sent without an owner, by engine. */
  const unowned = new Map<string, number>()

  function message (req: GrantRequest): GrantMessage {
    const { grantId: placeId, requestId, objectiveAt, startBy, deadlineAt, ...rest } = req
    const now = env.now()
    return { kind: 'acquire', place: { ...rest, id: placeId, objectiveInMs: Math.round(objectiveAt - now), startInMs: Math.round(startBy - now), deadlineInMs: Math.round(deadlineAt - now) } }
  }

  /** @returns `lost` when the owner does not acknowledge the request */
  function ask (owner: string, req: GrantRequest): Promise<GrantResult | 'lost'> {
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined
      const settle = (answer: GrantResult | 'lost'): void => {
        clearTimeout(timer)
        pending.delete(req.grantId)
        resolve(answer)
      }
      const send = async (): Promise<void> => {
        const acknowledged = await env.send(owner, message(req))
        if (!pending.has(req.grantId)) return
        if (!acknowledged) return settle('lost')
        timer = setTimeout(() => { send().catch(() => settle('lost')) }, askAgainMs)
      }
      pending.set(req.grantId, { owner, settle })
      send().catch(() => settle('lost'))
    })
  }

  function chooseAlone (req: GrantRequest): GrantResult {
    const server = chooseWithoutOwner(env.engines(req.service), req.demand, env.zone, req.excluded, id => unowned.get(id) ?? 0)
    if (server === undefined || (req.only !== undefined && !req.only.includes(server.id))) return { type: 'refused', reason: 'no-owner', retryAfterMs: noOwnerRetryMs }
    unowned.set(server.id, (unowned.get(server.id) ?? 0) + 1)
    env.log('place-without-owner', { id: req.requestId, server: server.id })
    // Without an owner nobody knows which version the engine holds: it refuses another one.
    const version = env.newestVersion(cacheScope(req.demand))
    return { type: 'place', grant: { grantId: req.grantId, server, ...(version === undefined ? {} : { version }) } }
  }

  function recentUses ({ model, adapter }: ModelDemand): number {
    return adapter === undefined ? Infinity : uses.add(cacheScope({ model, adapter }), env.now())
  }

  function tellOwner (owner: string, text: GrantMessage): void {
    env.send(owner, text).catch(() => {})
  }

  async function askOwners (req: GrantRequest): Promise<GrantResult> {
    const ranked = rankOwners(env.engines(req.service), req.demand, env.zone, recentUses(req.demand))
    const isAvoided = (owner: string): boolean => (avoided.get(owner) ?? 0) > env.now()
    const owners = [...ranked.filter(owner => !isAvoided(owner)), ...ranked.filter(isAvoided)].slice(0, maxOwners)
    let refusal: GrantResult | undefined
    for (const owner of owners) {
      const answer = await ask(owner, req)
      env.log('owner-answered', { id: req.requestId, owner, answer: answer === 'lost' ? 'lost' : answer.type === 'place' ? answer.grant.server.id : answer.reason })
      if (answer === 'lost') {
        avoided.set(owner, env.now() + avoidMs)
        continue
      }
      avoided.delete(owner)
      if (answer.type === 'place') return answer
      if (refusal === undefined || refusal.type !== 'refused' || answer.retryAfterMs < refusal.retryAfterMs) refusal = answer
    }
    return refusal ?? chooseAlone(req)
  }

  /** @returns whether the request is still wanted */
  function pause (placeId: string): Promise<boolean> {
    return new Promise(resolve => {
      const end = (wanted: boolean): void => {
        clearTimeout(timer)
        paused.delete(placeId)
        resolve(wanted)
      }
      const timer = setTimeout(() => end(true), settlingRetryMs)
      paused.set(placeId, () => end(false))
    })
  }

  return {
    async acquire (req) {
      for (let round = 1; ; round++) {
        // An owner repeats its answer to a request that it knows.
        const placeId = round === 1 ? req.grantId : `${req.grantId}.${round}`
        rounds.set(req.grantId, placeId)
        const answer = await askOwners({ ...req, grantId: placeId })
        const unready = answer.type === 'refused' && (answer.reason === 'no-engine' || answer.reason === 'no-owner')
        const again = unready && rounds.has(req.grantId) && env.startingUp() && env.now() + settlingRetryMs < Math.min(req.objectiveAt, req.startBy)
        if (again && await pause(req.grantId)) continue
        rounds.delete(req.grantId)
        return answer
      }
    },
    abandon (requested) {
      const placeId = rounds.get(requested) ?? requested
      rounds.delete(requested)
      paused.get(requested)?.()
      const waiting = pending.get(placeId)
      if (waiting === undefined) return
      waiting.settle({ type: 'refused', reason: 'no-owner', retryAfterMs: noOwnerRetryMs })
      tellOwner(waiting.owner, { kind: 'cancel', id: placeId })
    },
    firstEvent ({ owner, grantId: placeId }) {
      if (owner !== undefined) tellOwner(owner, { kind: 'first-event', id: placeId })
    },
    ended ({ owner, grantId: placeId, server }, outcome) {
      if (owner !== undefined) return tellOwner(owner, { kind: 'ended', id: placeId, outcome })
      unowned.set(server.id, Math.max(0, (unowned.get(server.id) ?? 0) - 1))
    },
    replyReceived (owner, answer) {
      const waiting = pending.get(answer.id)
      const server = answer.kind === 'granted' ? env.server(answer.engine) : undefined
      if (answer.kind === 'granted' && (waiting === undefined || server === undefined)) {
        // The client has left or another owner was asked meanwhile, or the engine is not known here.
        tellOwner(owner, { kind: 'ended', id: answer.id, outcome: 'cancelled' })
        return waiting?.settle({ type: 'refused', reason: 'no-engine', retryAfterMs: noOwnerRetryMs })
      }
      if (answer.kind === 'granted') waiting!.settle({ type: 'place', grant: { grantId: answer.id, server: server!, owner, ...(answer.version === undefined ? {} : { version: answer.version }) } })
      else waiting?.settle({ type: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs })
    }
  }
}
