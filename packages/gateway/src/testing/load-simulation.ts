/**
 * Simulates a load on the gateway's decisions with a virtual clock and without a network. Covers client
 * requests for adapters, the choice of an owner, the owners' schedulers, and engines with adapter
 * slots, prefill and batches. The result states which responses the clients get.
 */
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import type { BackendServer, EngineCommandResult, EngineReport, EngineSpec, ModelDemand } from '../cluster-types'
import { createUseCounter, rankOwners, type EngineCandidate } from '../engine-choice'
import { createEngineScheduler, type EngineScheduler, type RunOutcome, type ScheduledRequest, type SchedulerAction } from '../engine-scheduler'
import type { PendingCommand } from '../engine-state'
import { cacheScope, createPromptCache, type PromptCache } from '../prompt-cache'
import { createOwnerStatusCache } from '../owner-status-cache'
import { createSlowness, type SimulatedSpeeds } from './engine-slowness'
import { createEventQueue } from './event-queue'
import { createWeightedDraw } from './weighted-draw'

/** Requests of one kind; times in ms. */
export type SimulatedClass = {
  name: string
  perSecond: number
  /** Parts of the prompt that requests for one adapter may share; each is one of `texts` texts. */
  sharedParts: { tokens: number, texts: number }[]
  /** Mean number of prompt tokens that a request does not share. */
  ownTokens: number
  outputTokens: number
  priority: number
  objectiveMs: number
  deadlineMs: number
  /** Worth of a response on time. */
  worth: number
  /** Worth of a late response. */
  lateWorth: number
}

export type SimulatedLoad = {
  seed: number
  seconds: number
  zones: string[]
  enginesPerZone: number
  ownersPerZone: number
  adapterSlots: number
  adapters: number
  /** Exponent of the adapters' popularity by rank. */
  skew: number
  /** Concurrent loads from the weight store that run at full speed, over all engines. */
  fullSpeedColdLoads: number
  coldLoadMs: number
  classes: SimulatedClass[]
  /** Client accounts, whose usual rates follow a Zipf law. One of them may send a multiple of its usual rate in addition to the load of the others. */
  accounts?: { count: number, skew: number, flood?: { account: number, factor: number } }
  /** Interval at which owners publish their status, in ms. */
  statusIntervalMs: number
  /** Whether requests to owners state the longest pause of their stream. */
  sendsPauseLimit: boolean
  /** Ranking of owners; the gateway's own by default. */
  rank?: typeof rankOwners
  /** Some engines of each zone state a limit for a while; all nodes know it at once. Times in ms. */
  limit?: { enginesPerZone: number, requestsPerSecond: number, from: number, until: number }
  /** Nodes of a zone that receive requests, each with its own count of uses; one by default. */
  nodesPerZone?: number
  /** All engines have the same constant speed by default. */
  speeds?: SimulatedSpeeds
  /** The share of requests that a zone gets rises and falls by `depth`, with another phase in each zone. */
  waves?: { depth: number, periodMs: number }
}

/** `paused` counts late responses with a pause that was too long. */
/** `served` counts complete responses, on time or late. */
export type AccountResult = { submitted: number, served: number, onTime: number }
export type ClassResult = { submitted: number, onTime: number, late: number, paused: number, refused: number, failed: number, worthShare: number }
export type SimulationResult = {
  classes: Record<string, ClassResult>
  /** Results by account, in the order of their usual rates; empty without accounts. */
  accounts: AccountResult[]
  /** Requests that were sent again after the time in `Retry-After`, and those of them that an owner granted. */
  retries: { sent: number, granted: number }
  worthShare: number
  coldLoads: number
  warmLoads: number
  /** Requests that an engine refused because their adapter was not loaded yet. */
  notLoaded: number
  /** Requests that were sent to another zone, and their prompt tokens. */
  crossZone: number
  crossZoneTokens: number
  /** Mean number of prompt tokens that an engine had to prefill for a request. */
  meanPrefillTokens: number
  /** Largest number of requests that an engine got in {@link limitWindowMs} while it stated a limit. */
  mostUnderLimit: number
  /** Prefill that each engine has done, in ms at speed 1, and the times of its requests. */
  engines: Record<string, { workMs: number, arrivals: number[] }>
}

const model = 'base'
const networkDelayMs = 1
const stepMs = 5.47
const stepPerRunMs = 0.0121
const stepPerContextTokenMs = 0.000023
const prefillSetupMs = 2.7
const prefillTokensPerMs = 38.7
/** Attention to earlier tokens, in ms for each pair of tokens. */
const attentionPairMs = 0.737e-6
const chunkTokens = 4096
const tokensPerEvent = 5
const maxPauseMs = 600
const reportLagMs = 200
export const limitWindowMs = 4000
const maxOwnersAsked = 3
const maxGrants = 6
const maxWarmAdapters = 41
const warmLoadMs = 29

type ClientRequest = {
  id: string
  cls: SimulatedClass
  zone: string
  demand: ModelDemand
  account?: number
  arrivedAt: number
  retried: boolean
  retryGranted: boolean
  grantCount: number
  pausesOnTime: boolean
  lastEventAt?: number
  firstEventAt?: number
}

type RunningRequest = { req: ClientRequest, grantId: string, owner: Owner, remainingTokens: number, prefilledTokens: number, tokens: number }
type Engine = { server: BackendServer, replicas: Map<string, { readyAt: number, running: number }>, warmAdapters: Map<string, true>, commandCount: number, cache: PromptCache, prefilling: RunningRequest[], decoding: RunningRequest[], stepping: boolean }
type Owner = { name: string, zone: string, scheduler: EngineScheduler, engines: Engine[], pending: Map<string, { req: ClientRequest, rest: string[], leastRetryMs: number }>, decisionScheduled: boolean }

export function simulateLoad (load: SimulatedLoad): SimulationResult {
  const random = xoroshiro128plus(load.seed)
  const uniform = (): number => unsafeUniformIntDistribution(0, 0x7ffffffe, random) / 0x7fffffff
  const eventQueue = createEventQueue()
  const { now } = eventQueue
  const rank = load.rank ?? rankOwners
  const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: load.adapterSlots, loadsPerSecond: 26, models: [{ name: model, weightsMb: 72_700, adapterMb: 66 }] }
  const statusCache = createOwnerStatusCache({ endedAt: () => -Infinity })
  const useCounters = new Map(load.zones.map(zone => [zone, Array.from({ length: load.nodesPerZone ?? 1 }, createUseCounter)]))
  const result: SimulationResult = { classes: {}, accounts: [], retries: { sent: 0, granted: 0 }, worthShare: 0, coldLoads: 0, warmLoads: 0, notLoaded: 0, crossZone: 0, crossZoneTokens: 0, meanPrefillTokens: 0, mostUnderLimit: 0, engines: {} }
  const owners: Owner[] = []
  let activeColdLoads = 0
  let sentRequests = 0
  let requestCount = 0

  const adapterDraw = createWeightedDraw(uniform, load.adapters, index => (index + 1) ** -load.skew)
  const { count: accountCount = 0, skew: accountSkew = 0, flood } = load.accounts ?? {}
  const usualRate = (account: number): number => (account + 1) ** -accountSkew
  const accountDraw = createWeightedDraw(uniform, accountCount, account => usualRate(account) * (account === flood?.account ? flood.factor : 1))
  /** Rate of all accounts together relative to the usual one. */
  const rateFactor = flood === undefined ? 1 : accountDraw.totalWeight / createWeightedDraw(uniform, accountCount, usualRate).totalWeight
  for (let account = 0; account < accountCount; account++) result.accounts.push({ submitted: 0, served: 0, onTime: 0 })

  for (const zone of load.zones) {
    const engines = Array.from({ length: load.enginesPerZone }, (_, index): Engine => ({
      server: { id: `${zone}-e${index}`, bornAt: 1, service: 'llm', address: `${zone}-e${index}:1`, zone, state: 'ready', slots: spec.slots, models: [{ name: model, adapters: [] }] },
      replicas: new Map(),
      warmAdapters: new Map(),
      commandCount: 0,
      cache: createPromptCache(spec.kvTokens),
      prefilling: [],
      decoding: [],
      stepping: false
    }))
    for (let ownerIndex = 0; ownerIndex < load.ownersPerZone; ownerIndex++) {
      owners.push({ name: `${zone}-n${ownerIndex}`, zone, scheduler: createEngineScheduler({ versionMs: 5000, mayCommand: () => true }), engines: engines.filter((_, index) => index % load.ownersPerZone === ownerIndex), pending: new Map(), decisionScheduled: false })
    }
  }
  const engines = owners.flatMap(owner => owner.engines.map(engine => ({ owner, engine })))
  const limitedIds = new Set(load.limit === undefined ? [] : owners.flatMap(owner => owner.engines.map(({ server }) => server.id)).filter(id => Number(id.split('-e')[1]) < load.limit!.enginesPerZone))
  /** Times of the requests that engines got while they stated a limit. */
  const arrivals = new Map<string, number[]>([...limitedIds].map(id => [id, []]))

  function limitOf (id: string): number | undefined {
    const { limit } = load
    return limit !== undefined && limitedIds.has(id) && now() >= limit.from && now() < limit.until ? limit.requestsPerSecond : undefined
  }

  function applyLimits (): void {
    for (const owner of owners) perform(owner, owner.scheduler.setEngines(owner.engines.map(({ server }) => ({ server, spec, requestsPerSecond: limitOf(server.id) })), now()))
  }

  const engineById = new Map(engines.map(({ engine }) => [engine.server.id, engine]))
  const slowness = load.speeds === undefined ? () => 1 : createSlowness([...engineById.keys()], load.speeds, uniform, eventQueue)
  for (const id of engineById.keys()) result.engines[id] = { workMs: 0, arrivals: [] }

  function perform (owner: Owner, actions: SchedulerAction[]): void {
    for (const action of actions) {
      switch (action.type) {
        case 'grant':
          granted(owner, action.request, action.engine)
          break
        case 'refuse':
          refused(owner, action.request, action.retryAfterMs)
          break
        case 'command':
          eventQueue.at(now() + networkDelayMs, () => {
            const outcome = applyCommand(engineOf(action.engine), action.command)
            eventQueue.at(now() + networkDelayMs, () => perform(owner, owner.scheduler.commandFinished(action.engine, outcome, now())))
          })
          break
        case 'report': {
          const report = reportOf(engineOf(action.engine))
          eventQueue.at(now() + reportLagMs, () => perform(owner, owner.scheduler.applyReport(action.engine, report, now())))
        }
      }
    }
    const next = owner.scheduler.nextDecisionAt(now())
    if (next === undefined || owner.decisionScheduled) return
    owner.decisionScheduled = true
    eventQueue.at(Math.max(now() + 1, Math.ceil(next)), () => {
      owner.decisionScheduled = false
      perform(owner, owner.scheduler.tick(now()))
    })
  }

  function engineOf (id: string): Engine {
    return engineById.get(id)!
  }

  function reportOf (engine: Engine): EngineReport {
    const loaded = [...engine.replicas].filter(([, { readyAt }]) => readyAt <= now())
    const loading = [...engine.replicas].filter(([, { readyAt }]) => readyAt > now())
    const nameOf = (scope: string): string => adapterNames.get(scope)!
    return { bornAt: 1, commandCount: engine.commandCount, models: [{ name: model, adapters: loaded.map(([scope]) => ({ name: nameOf(scope) })) }], loading: loading.map(([scope]) => ({ model, adapter: nameOf(scope) })), busy: false, queued: engine.prefilling.length, active: engine.decoding.length }
  }

  const adapterNames = new Map<string, string>()

  function applyCommand (engine: Engine, command: PendingCommand): EngineCommandResult {
    if (command.expectedCount !== engine.commandCount) return 'conflict'
    engine.commandCount += 1
    const scope = cacheScope(command)
    adapterNames.set(scope, command.adapter!)
    if (command.operation === 'unload') {
      engine.replicas.delete(scope)
      engine.cache.drop(scope)
      engine.warmAdapters.delete(scope)
      engine.warmAdapters.set(scope, true)
      if (engine.warmAdapters.size > maxWarmAdapters) engine.warmAdapters.delete(engine.warmAdapters.keys().next().value!)
      return 'holds'
    }
    if (engine.replicas.size >= load.adapterSlots) throw new Error(`${engine.server.id} has no free adapter slot for ${scope}`)
    const warm = engine.warmAdapters.has(scope)
    if (warm) result.warmLoads += 1
    else {
      result.coldLoads += 1
      activeColdLoads += 1
    }
    const durationMs = warm ? warmLoadMs : load.coldLoadMs * Math.max(1, activeColdLoads / load.fullSpeedColdLoads)
    engine.replicas.set(scope, { readyAt: now() + durationMs, running: 0 })
    if (!warm) eventQueue.at(now() + durationMs, () => { activeColdLoads -= 1 })
    return 'accepted'
  }

  function granted (owner: Owner, grantId: string, engineId: string): void {
    const { req } = owner.pending.get(grantId)!
    owner.pending.delete(grantId)
    if (req.retried && !req.retryGranted) {
      req.retryGranted = true
      result.retries.granted += 1
    }
    const engine = engineOf(engineId)
    eventQueue.at(now() + 2 * networkDelayMs, () => arrive(engine, owner, grantId, req))
  }

  function arrive (engine: Engine, owner: Owner, grantId: string, req: ClientRequest): void {
    if (limitOf(engine.server.id) !== undefined) arrivals.get(engine.server.id)!.push(now())
    const replica = engine.replicas.get(cacheScope(req.demand))
    if (replica === undefined || replica.readyAt > now()) {
      result.notLoaded += 1
      return eventQueue.at(now() + networkDelayMs, () => {
        end(owner, grantId, 'misdirected')
        if (req.grantCount < maxGrants) requestGrant(req)
        else fail(req)
      })
    }
    sentRequests += 1
    result.engines[engine.server.id]!.arrivals.push(now())
    if (engine.server.zone !== req.zone) {
      result.crossZone += 1
      result.crossZoneTokens += req.demand.promptTokens
    }
    replica.running += 1
    engine.prefilling.push({ req, grantId, owner, remainingTokens: 0, prefilledTokens: 0, tokens: 0 })
    if (!engine.stepping) step(engine)
  }

  /** One step of the batch: a chunk of the prompts, and one token for each request whose prefill is done. */
  function step (engine: Engine): void {
    engine.stepping = engine.prefilling.length + engine.decoding.length > 0
    if (!engine.stepping) return
    let chunkLeft = chunkTokens
    let prefillMs = 0
    for (const run of engine.prefilling) {
      if (chunkLeft <= 0) break
      if (run.tokens === 0) {
        run.remainingTokens = Math.max(1, run.req.demand.promptTokens - engine.cache.cachedTokens(run.req.demand))
        run.tokens = 1
        run.prefilledTokens = run.req.demand.promptTokens - run.remainingTokens
        result.meanPrefillTokens += run.remainingTokens
        engine.cache.use(run.req.demand)
      }
      const part = Math.min(chunkLeft, run.remainingTokens)
      run.remainingTokens -= part
      chunkLeft -= part
      prefillMs += part / prefillTokensPerMs + attentionPairMs * part * (run.prefilledTokens + part / 2)
      run.prefilledTokens += part
    }
    const contextTokens = engine.decoding.reduce((sum, run) => sum + run.req.demand.promptTokens + run.tokens, 0)
    result.engines[engine.server.id]!.workMs += prefillMs
    const durationMs = slowness(engine.server.id) * (stepMs + stepPerRunMs * engine.decoding.length + stepPerContextTokenMs * contextTokens + (prefillMs === 0 ? 0 : prefillSetupMs + prefillMs))
    eventQueue.at(now() + durationMs, () => {
      for (const run of [...engine.decoding]) {
        run.tokens += 1
        if (run.tokens % tokensPerEvent === 0 || run.tokens >= run.req.demand.outputTokens) event(run)
        if (run.tokens >= run.req.demand.outputTokens || isExpired(run.req)) finish(engine, run)
      }
      for (const run of engine.prefilling.filter(({ req }) => isExpired(req))) finish(engine, run)
      const started = engine.prefilling.filter(({ remainingTokens, tokens }) => tokens > 0 && remainingTokens === 0)
      engine.prefilling = engine.prefilling.filter(run => !started.includes(run))
      for (const run of started) {
        event(run)
        engine.decoding.push(run)
      }
      step(engine)
    })
  }

  function event ({ req, owner, grantId }: RunningRequest): void {
    if (req.firstEventAt === undefined) {
      req.firstEventAt = now()
      eventQueue.at(now() + 2 * networkDelayMs, () => perform(owner, owner.scheduler.firstEvent(grantId, now())))
    } else if (now() - req.lastEventAt! > maxPauseMs) req.pausesOnTime = false
    req.lastEventAt = now()
  }

  function isExpired ({ arrivedAt, cls }: ClientRequest): boolean {
    return now() - arrivedAt > cls.deadlineMs
  }

  function finish (engine: Engine, run: RunningRequest): void {
    engine.decoding = engine.decoding.filter(other => other !== run)
    engine.prefilling = engine.prefilling.filter(other => other !== run)
    engine.replicas.get(cacheScope(run.req.demand))!.running -= 1
    const { req } = run
    const entry = result.classes[req.cls.name]!
    end(run.owner, run.grantId, isExpired(req) ? 'cancelled' : 'ok')
    const onTime = req.firstEventAt !== undefined && req.firstEventAt - req.arrivedAt <= req.cls.objectiveMs && req.pausesOnTime
    if (req.account !== undefined && !isExpired(req)) {
      result.accounts[req.account]!.served += 1
      if (onTime) result.accounts[req.account]!.onTime += 1
    }
    if (isExpired(req)) entry.failed += 1
    else if (onTime) entry.onTime += 1
    else {
      entry.late += 1
      if (!req.pausesOnTime) entry.paused += 1
    }
  }

  function end (owner: Owner, grantId: string, outcome: RunOutcome): void {
    eventQueue.at(now() + networkDelayMs, () => perform(owner, owner.scheduler.ended(grantId, outcome, now())))
  }

  function fail (req: ClientRequest): void {
    result.classes[req.cls.name]!.failed += 1
  }

  function candidates (): EngineCandidate[] {
    return engines.map(({ owner, engine }) => ({ server: engine.server, owner: owner.name, limited: limitOf(engine.server.id) !== undefined, ...statusCache.engineStatus(engine.server.id, now()) }))
  }

  function requestGrant (req: ClientRequest): void {
    const counters = useCounters.get(req.zone)!
    const recent = counters[requestCount % counters.length]!.add(cacheScope(req.demand), now())
    const ranked = rank(candidates(), req.demand, req.zone, recent).slice(0, maxOwnersAsked)
    askOwner(req, ranked, Infinity)
  }

  function askOwner (req: ClientRequest, ranked: string[], retryAfterMs: number): void {
    const owner = owners.find(({ name }) => name === ranked[0])
    if (owner === undefined) return handleRefusal(req, retryAfterMs)
    req.grantCount += 1
    const grantId = `${req.id}#${req.grantCount}`
    owner.pending.set(grantId, { req, rest: ranked.slice(1), leastRetryMs: retryAfterMs })
    const { cls } = req
    const scheduled: ScheduledRequest = { id: grantId, node: 'n', service: 'llm', demand: req.demand, ...(req.account === undefined ? {} : { account: `account-${req.account}` }), priority: cls.priority, objectiveAt: req.arrivedAt + cls.objectiveMs, startBy: req.arrivedAt + cls.deadlineMs, ...(load.sendsPauseLimit ? { pauseMs: maxPauseMs } : {}), deadlineAt: req.arrivedAt + cls.deadlineMs, excluded: [] }
    eventQueue.at(now() + networkDelayMs, () => perform(owner, owner.scheduler.submit(scheduled, now())))
  }

  function refused (owner: Owner, grantId: string, retryAfterMs: number): void {
    const { req, rest, leastRetryMs } = owner.pending.get(grantId)!
    owner.pending.delete(grantId)
    eventQueue.at(now() + networkDelayMs, () => askOwner(req, rest, Math.min(leastRetryMs, retryAfterMs)))
  }

  function handleRefusal (req: ClientRequest, retryAfterMs: number): void {
    const leftMs = req.arrivedAt + req.cls.deadlineMs - now()
    if (req.retried || retryAfterMs > leftMs / 3) result.classes[req.cls.name]!.refused += 1
    else {
      req.retried = true
      result.retries.sent += 1
      eventQueue.at(now() + retryAfterMs, () => requestGrant(req))
    }
  }

  /** @returns a log-normal value with the given mean; the standard deviation of its logarithm is 1 */
  function drawLogNormal (mean: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform())
    return Math.max(1, mean * Math.exp(normal - 0.5))
  }

  function drawZone (): string {
    const { zones, waves } = load
    const drawn = zones[Math.floor(uniform() * zones.length)]!
    if (waves === undefined) return drawn
    const weight = 1 + waves.depth * Math.sin(2 * Math.PI * (now() / waves.periodMs + zones.indexOf(drawn) / zones.length))
    return uniform() * (1 + waves.depth) < weight ? drawn : drawZone()
  }

  function submit (cls: SimulatedClass): void {
    const adapter = `a${adapterDraw.draw()}`
    const id = `r${++requestCount}`
    const zone = drawZone()
    const ownTokens = Math.round(Math.min(10 * cls.ownTokens, drawLogNormal(cls.ownTokens)))
    const outputTokens = Math.round(Math.min(3 * cls.outputTokens, drawLogNormal(cls.outputTokens)))
    const sharedParts = cls.sharedParts.map(({ tokens, texts }, index) => ({ id: `${cls.name}-${index}-${Math.floor(uniform() * texts)}`, tokens }))
    const promptTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, ownTokens)
    const demand: ModelDemand = { model, adapter, promptTokens, outputTokens, parts: [...sharedParts, { id, tokens: ownTokens }] }
    const account = accountCount === 0 ? undefined : accountDraw.draw()
    result.classes[cls.name]!.submitted += 1
    if (account !== undefined) result.accounts[account]!.submitted += 1
    requestGrant({ id, cls, zone, demand, ...(account === undefined ? {} : { account }), arrivedAt: now(), retried: false, retryGranted: false, grantCount: 0, pausesOnTime: true })
  }

  for (const cls of load.classes) {
    result.classes[cls.name] = { submitted: 0, onTime: 0, late: 0, paused: 0, refused: 0, failed: 0, worthShare: 0 }
    const next = (): void => {
      const at = now() - Math.log(1 - uniform()) * 1000 / (cls.perSecond * rateFactor)
      if (at < load.seconds * 1000) eventQueue.at(at, () => { submit(cls); next() })
    }
    next()
  }
  for (const owner of owners) {
    perform(owner, owner.scheduler.setEngines(owner.engines.map(({ server }) => ({ server, spec })), 0))
    const tick = (): void => {
      perform(owner, owner.scheduler.tick(now()))
      if (now() < load.seconds * 1000 + 20_000) eventQueue.at(now() + 50, tick)
    }
    tick()
  }
  const publishStatus = (): void => {
    for (const owner of owners) statusCache.setOwn(owner.name, owner.scheduler.status(now()).map(engine => ({ ...engine, commandable: true })), now())
    if (now() < load.seconds * 1000) eventQueue.at(now() + load.statusIntervalMs, publishStatus)
  }
  publishStatus()
  if (load.limit !== undefined) {
    eventQueue.at(load.limit.from, applyLimits)
    eventQueue.at(load.limit.until, applyLimits)
  }
  eventQueue.runUntil(load.seconds * 1000 + 20_000)

  for (const times of arrivals.values()) {
    for (const start of times) result.mostUnderLimit = Math.max(result.mostUnderLimit, times.filter(at => at >= start && at < start + limitWindowMs).length)
  }
  let possibleWorth = 0
  let earnedWorth = 0
  for (const cls of load.classes) {
    const entry = result.classes[cls.name]!
    entry.worthShare = (entry.onTime * cls.worth + entry.late * cls.lateWorth) / (entry.submitted * cls.worth)
    possibleWorth += entry.submitted * cls.worth
    earnedWorth += entry.onTime * cls.worth + entry.late * cls.lateWorth
  }
  result.worthShare = earnedWorth / possibleWorth
  result.meanPrefillTokens /= Math.max(1, sentRequests)
  return result
}
