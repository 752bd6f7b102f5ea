/**
 * Obtains grants from engine owners: asks the owner of a suitable engine, and another one if the first
 * refuses or does not reply. If no owner replies, the node chooses an engine by its last status.
 */
import type { BackendServer, ModelDemand } from './cluster-types'
import { cacheScope } from './prompt-cache'
import { createDatedFact, type DatedFact, type Suspensions } from './dated-fact'
import { chooseWithoutOwner, createUseCounter, rankOwners, type EngineCandidate, type UseCounter } from './engine-choice'
import type { RefusalReason, RunOutcome, ScheduledRequest } from './engine-scheduler'
import { softwareVersionOf } from './software-versions'

export type GrantRequest = Omit<ScheduledRequest, 'id' | 'node'> & {
  /** Unique to this request for a grant. */
  grantId: string
  requestId: string
}

export type Grant = {
  grantId: string
  server: BackendServer
  version?: number
  /** Node that gave the grant; absent if this node chose an engine without an owner. */
  owner?: string
}

export type GrantResult =
  | { type: 'granted', grant: Grant }
  | { type: 'refused', reason: RefusalReason | 'no-owner', retryAfterMs: number }

/** Messages between owners and nodes about grants. Times are sent as durations, since clocks differ. */
export type GrantMessage =
  | { kind: 'acquire', place: Omit<ScheduledRequest, 'node' | 'objectiveAt' | 'startBy' | 'deadlineAt'> & { objectiveInMs: number, startInMs: number, deadlineInMs: number } }
  | { kind: 'cancel', id: string }
  | { kind: 'first-event', id: string }
  /** Nodes before `unusable` know that outcome as `failed`. */
  | { kind: 'ended', id: string, outcome: Exclude<RunOutcome, 'unusable'>, unusable?: true }
  | { kind: 'granted', id: string, engine: string, version?: number }
  | { kind: 'refused', id: string, reason: RefusalReason, retryAfterMs: number }

export type GrantClientEnv = {
  now (): number
  suspensions: Suspensions
  zone: string
  engines (service: string): EngineCandidate[]
  server (id: string): BackendServer | undefined
  /** Whether the process has just started: after an outage of all nodes, owners are still claiming their engines. */
  startingUp (): boolean
  /** Newest announced version of an adapter, if any was announced. */
  newestVersion (scope: string): number | undefined
  /** @returns whether the owner acknowledged the message; resolves at once if this node is the owner */
  send (owner: string, message: GrantMessage): Promise<boolean>
  log (event: string, fields: Record<string, string | number | boolean | undefined>): void
}

/** What the choice of an engine depends on. */
export type EngineQuestion = Pick<GrantRequest, 'service' | 'demand' | 'requestId' | 'softwareVersion' | 'excluded' | 'only'>

export type GrantClient = {
  /** @returns the owners that a request would be asked of, in order, and the engine it would be sent to without an owner; nothing is sent or counted */
  explain (req: EngineQuestion): { owners: string[], withoutOwner: BackendServer | undefined }
  acquire (req: GrantRequest): Promise<GrantResult>
  /** The grant is no longer needed. */
  abandon (grantId: string): void
  firstEvent (grant: Grant): void
  ended (grant: Grant, outcome: RunOutcome): void
  /** An owner replied to a request for a grant. */
  receiveReply (owner: string, message: GrantMessage & { kind: 'granted' | 'refused' }): void
}

/** Number of owners that are asked for one request; each costs a round trip. */
const maxOwnersAsked = 3
/** Interval at which a request is sent again to an owner that has not replied, in ms: its process may have ended. */
const resendMs = 400
export const noOwnerRetryAfterMs = 700
/** Delay before owners are asked again that had no engine because they have just started, in ms. */
const startupRetryMs = 80
/** Time for which an owner that did not acknowledge a request is asked last, in ms. */
const ownerAvoidanceMs = 1000

/**
 * `lost`: the owner has not acknowledged the request; `outdated`: it has given a grant that may be older
 * than a suspension of this process, so that the owner may count it as ended.
 */
type OwnerResult = GrantResult | 'lost' | 'outdated'

/** `asked`: that the owner was asked; a grant is no older. */
type PendingGrant = { owner: string, asked: DatedFact<true>, resolve (result: OwnerResult): void }

export function createGrantClient (env: GrantClientEnv): GrantClient {
  const pending = new Map<string, PendingGrant>()
  /** Grant id of the current round of a request, by the grant id of its first round. */
  const currentGrantIds = new Map<string, string>()
  /** Callbacks that end the delay before the next round, by the grant id of the first round. */
  const delayedRetries = new Map<string, () => void>()
  const uses = createUseCounter()
  /** Owners that did not acknowledge a request, with the time until which others are asked first. */
  const avoided = new Map<string, number>()
  /** Number of requests in progress that this node sent without an owner, by engine. */
  const sentWithoutOwner = new Map<string, number>()

  function acquireMessage (req: GrantRequest): GrantMessage {
    const { grantId, requestId, objectiveAt, startBy, deadlineAt, ...rest } = req
    const sentAt = env.now()
    return { kind: 'acquire', place: { ...rest, id: grantId, objectiveInMs: Math.round(objectiveAt - sentAt), startInMs: Math.round(startBy - sentAt), deadlineInMs: Math.round(deadlineAt - sentAt) } }
  }

  function askOwner (owner: string, req: GrantRequest): Promise<OwnerResult> {
    return new Promise(resolve => {
      let timer: NodeJS.Timeout | undefined
      const finish = (result: OwnerResult): void => {
        clearTimeout(timer)
        pending.delete(req.grantId)
        resolve(result)
      }
      const send = async (): Promise<void> => {
        const acknowledged = await env.send(owner, acquireMessage(req))
        if (!pending.has(req.grantId)) return
        if (!acknowledged) return finish('lost')
        timer = setTimeout(() => { send().catch(() => finish('lost')) }, resendMs)
      }
      const asked = createDatedFact<true>(req.deadlineAt - env.now(), env.suspensions)
      asked.record(true, env.now())
      pending.set(req.grantId, { owner, asked, resolve: finish })
      send().catch(() => finish('lost'))
    })
  }

  function engineWithoutOwner (req: EngineQuestion): BackendServer | undefined {
    return chooseWithoutOwner(env.engines(req.service), req.demand, env.zone, req, id => sentWithoutOwner.get(id) ?? 0, req.requestId)
  }

  function grantWithoutOwner (req: GrantRequest): GrantResult {
    const server = engineWithoutOwner(req)
    if (server === undefined) return { type: 'refused', reason: 'no-owner', retryAfterMs: noOwnerRetryAfterMs }
    sentWithoutOwner.set(server.id, (sentWithoutOwner.get(server.id) ?? 0) + 1)
    env.log('place-without-owner', { id: req.requestId, server: server.id })
    // Without an owner the version on the engine is unknown, so the request names the newest; the engine refuses if it has another one.
    const version = env.newestVersion(cacheScope(req.demand))
    return { type: 'granted', grant: { grantId: req.grantId, server, ...(version === undefined ? {} : { version }) } }
  }

  function recentUses ({ model, adapter }: ModelDemand, count: UseCounter['add']): number {
    return adapter === undefined ? Infinity : count(cacheScope({ model, adapter }), env.now())
  }

  function notifyOwner (owner: string, message: GrantMessage): void {
    env.send(owner, message).catch(() => {})
  }

  /** Engines of which an owner may grant one. */
  function enginesFor ({ service, softwareVersion }: EngineQuestion): EngineCandidate[] {
    const engines = env.engines(service)
    return softwareVersion === undefined ? engines : engines.filter(({ server }) => softwareVersionOf(server) === softwareVersion)
  }

  function ownersToAsk (req: EngineQuestion, useCount: number): string[] {
    const ranked = rankOwners(enginesFor(req), req.demand, env.zone, useCount)
    const isAvoided = (owner: string): boolean => (avoided.get(owner) ?? 0) > env.now()
    return [...ranked.filter(owner => !isAvoided(owner)), ...ranked.filter(isAvoided)].slice(0, maxOwnersAsked)
  }

  async function askOwners (req: GrantRequest): Promise<GrantResult | 'outdated'> {
    const owners = ownersToAsk(req, recentUses(req.demand, uses.add))
    let refusal: GrantResult | undefined
    for (const owner of owners) {
      const result = await askOwner(owner, req)
      env.log('owner-answered', { id: req.requestId, owner, answer: typeof result === 'string' ? result : result.type === 'granted' ? result.grant.server.id : result.reason })
      if (result === 'lost') {
        avoided.set(owner, env.now() + ownerAvoidanceMs)
        continue
      }
      avoided.delete(owner)
      if (result === 'outdated') return result
      // All owners refuse a prompt part that crashes engines.
      if (result.type === 'granted' || result.reason === 'blocked-part') return result
      if (refusal === undefined || refusal.type !== 'refused' || result.retryAfterMs < refusal.retryAfterMs) refusal = result
    }
    return refusal ?? grantWithoutOwner(req)
  }

  /** @returns whether the grant is still needed */
  function waitToRetry (grantId: string): Promise<boolean> {
    return new Promise(resolve => {
      const finish = (wanted: boolean): void => {
        clearTimeout(timer)
        delayedRetries.delete(grantId)
        resolve(wanted)
      }
      const timer = setTimeout(() => finish(true), startupRetryMs)
      delayedRetries.set(grantId, () => finish(false))
    })
  }

  return {
    explain: req => ({ owners: ownersToAsk(req, recentUses(req.demand, uses.peek)), withoutOwner: engineWithoutOwner(req) }),
    async acquire (req) {
      for (let round = 1; ; round++) {
        // An owner repeats its reply to an id that it has seen, so each round needs a new one.
        const grantId = round === 1 ? req.grantId : `${req.grantId}.${round}`
        currentGrantIds.set(req.grantId, grantId)
        const answer = await askOwners({ ...req, grantId })
        if (answer === 'outdated' && currentGrantIds.has(req.grantId) && env.now() < req.deadlineAt) continue
        const result: GrantResult = answer === 'outdated' ? { type: 'refused', reason: 'no-owner', retryAfterMs: noOwnerRetryAfterMs } : answer
        const noOwnerReady = result.type === 'refused' && (result.reason === 'no-engine' || result.reason === 'no-owner')
        const retry = noOwnerReady && currentGrantIds.has(req.grantId) && env.startingUp() && env.now() + startupRetryMs < Math.min(req.objectiveAt, req.startBy)
        if (retry && await waitToRetry(req.grantId)) continue
        currentGrantIds.delete(req.grantId)
        return result
      }
    },
    abandon (requestedId) {
      const grantId = currentGrantIds.get(requestedId) ?? requestedId
      currentGrantIds.delete(requestedId)
      delayedRetries.get(requestedId)?.()
      const pendingGrant = pending.get(grantId)
      if (pendingGrant === undefined) return
      pendingGrant.resolve({ type: 'refused', reason: 'no-owner', retryAfterMs: noOwnerRetryAfterMs })
      notifyOwner(pendingGrant.owner, { kind: 'cancel', id: grantId })
    },
    firstEvent ({ owner, grantId }) {
      if (owner !== undefined) notifyOwner(owner, { kind: 'first-event', id: grantId })
    },
    ended ({ owner, grantId, server }, outcome) {
      if (owner !== undefined) return notifyOwner(owner, outcome === 'unusable' ? { kind: 'ended', id: grantId, outcome: 'failed', unusable: true } : { kind: 'ended', id: grantId, outcome })
      sentWithoutOwner.set(server.id, Math.max(0, (sentWithoutOwner.get(server.id) ?? 0) - 1))
    },
    receiveReply (owner, reply) {
      const pendingGrant = pending.get(reply.id)
      const server = reply.kind === 'granted' ? env.server(reply.engine) : undefined
      if (reply.kind === 'granted' && (pendingGrant === undefined || server === undefined)) {
        // The client has disconnected, another owner was asked meanwhile, or this node has no record of the engine.
        notifyOwner(owner, { kind: 'ended', id: reply.id, outcome: 'cancelled' })
        return pendingGrant?.resolve({ type: 'refused', reason: 'no-engine', retryAfterMs: noOwnerRetryAfterMs })
      }
      if (reply.kind === 'granted' && pendingGrant!.asked.read(env.now()) === undefined) {
        notifyOwner(owner, { kind: 'ended', id: reply.id, outcome: 'cancelled' })
        return pendingGrant!.resolve('outdated')
      }
      if (reply.kind === 'granted') pendingGrant!.resolve({ type: 'granted', grant: { grantId: reply.id, server: server!, owner, ...(reply.version === undefined ? {} : { version: reply.version }) } })
      else pendingGrant?.resolve({ type: 'refused', reason: reply.reason, retryAfterMs: reply.retryAfterMs })
    }
  }
}
