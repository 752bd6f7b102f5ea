/**
 * Plays a load against the decisions of the gateway on a virtual clock: client requests for adapters,
 * the choice of an owner, the owners' schedulers, and engines with places, prompt reading and batches.
 * It shows what clients get, without a network.
 */
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import type { BackendServer, EngineCommandResult, EngineReport, EngineSpec, ModelDemand } from '../cluster-types'
import { createUseCounter, rankOwners, type EngineCandidate } from '../engine-choice'
import { createEngineScheduler, type EngineScheduler, type RunOutcome, type ScheduledRequest, type SchedulerAction } from '../engine-scheduler'
import type { PendingCommand } from '../engine-state'
import { cacheScope, createPromptCache, type PromptCache } from '../prompt-cache'
import { createOwnerStatusCache } from '../owner-status-cache'

/** Requests of one kind; times in ms. */
export type PlayedClass = {
  name: string
  perSecond: number
  /** Parts of the prompt that requests of one adapter may share, each one of several texts. */
  sharedParts: { tokens: number, texts: number }[]
  /** Mean number of tokens that each request has for itself. */
  ownTokens: number
  outputTokens: number
  priority: number
  objectiveMs: number
  deadlineMs: number
  /** Worth of an answer on time, and of a late one. */
  worth: number
  lateWorth: number
}

export type PlayedLoad = {
  seed: number
  seconds: number
  zones: string[]
  enginesPerZone: number
  ownersPerZone: number
  adapterSlots: number
  adapters: number
  /** Exponent of the adapters' popularity by rank. */
  skew: number
  /** Adapter loads from the weight store that run at full speed, over all engines. */
  storeLoads: number
  coldLoadMs: number
  classes: PlayedClass[]
  /** Pace of the owners' announcements, in ms. */
  statusMs: number
  /** Whether owners learn how long a stream may pause. */
  tellsPauses: boolean
  /** Ranks owners; the product's own choice unless a test compares another. */
  rank?: typeof rankOwners
}

/** `paused` counts late answers that began on time and paused too long. */
export type ClassResult = { asked: number, onTime: number, late: number, paused: number, refused: number, failed: number, worthShare: number }
export type PlayResult = {
  classes: Record<string, ClassResult>
  worthShare: number
  coldLoads: number
  warmLoads: number
  /** Requests that arrived at an engine before their adapter. */
  tooEarly: number
  /** Requests that were sent to another zone. */
  otherZone: number
  /** Mean number of prompt tokens that a request made an engine read. */
  meanReadTokens: number
}

const model = 'base'
const hopMs = 1
const stepMs = 5.47
const stepPerRunMs = 0.0121
const stepPerContextTokenMs = 0.000023
const setupMs = 2.7
const prefillPerMs = 38.7
/** Attention over the tokens read before, in ms for a token of each pair. */
const pairMs = 0.737e-6
const chunkTokens = 4096
const tokensPerEvent = 5
const gapAimMs = 600
const reportLagMs = 200
const maxOwners = 3
const maxPlaces = 6
const heldBefore = 41
const warmLoadMs = 29

type Request = {
  id: string
  cls: PlayedClass
  zone: string
  demand: ModelDemand
  arrivedAt: number
  returned: boolean
  places: number
  gapsKept: boolean
  lastEventAt?: number
  firstEventAt?: number
}

type RunningRequest = { req: Request, placeId: string, owner: Owner, unread: number, readTokens: number, tokens: number }
type Engine = { server: BackendServer, copies: Map<string, { readyAt: number, running: number }>, held: Map<string, true>, count: number, cache: PromptCache, reading: RunningRequest[], decoding: RunningRequest[], stepping: boolean }
type Owner = { name: string, zone: string, scheduler: EngineScheduler, engines: Engine[], pending: Map<string, { req: Request, rest: string[] }>, decidesAgain: boolean }

/** Events by time. */
function createAgenda (): { at (time: number, run: () => void): void, play (until: number): void, now (): number } {
  const heap: { time: number, order: number, run: () => void }[] = []
  let clock = 0
  let order = 0
  const before = (left: number, right: number): boolean => heap[left]!.time < heap[right]!.time || (heap[left]!.time === heap[right]!.time && heap[left]!.order < heap[right]!.order)
  const swap = (left: number, right: number): void => { [heap[left], heap[right]] = [heap[right]!, heap[left]!] }

  function sink (): void {
    for (let at = 0; ;) {
      let least = at
      for (const child of [2 * at + 1, 2 * at + 2]) if (child < heap.length && before(child, least)) least = child
      if (least === at) return
      swap(at, least)
      at = least
    }
  }

  return {
    now: () => clock,
    at (time, run) {
      heap.push({ time: Math.max(time, clock), order: order++, run })
      for (let at = heap.length - 1; at > 0;) {
        const parent = (at - 1) >> 1
        if (!before(at, parent)) return
        swap(at, parent)
        at = parent
      }
    },
    play (until) {
      while (heap.length > 0 && heap[0]!.time <= until) {
        const { time, run } = heap[0]!
        const last = heap.pop()!
        if (heap.length > 0) {
          heap[0] = last
          sink()
        }
        clock = time
        run()
      }
    }
  }
}

export function playLoad (load: PlayedLoad): PlayResult {
  const random = xoroshiro128plus(load.seed)
  const uniform = (): number => unsafeUniformIntDistribution(0, 0x7ffffffe, random) / 0x7fffffff
  const agenda = createAgenda()
  const { now } = agenda
  const rank = load.rank ?? rankOwners
  const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: load.adapterSlots, loadsPerSecond: 26, models: [{ name: model, weightsMb: 72_700, adapterMb: 66 }] }
  const board = createOwnerStatusCache()
  const uses = new Map(load.zones.map(zone => [zone, createUseCounter()]))
  const result: PlayResult = { classes: {}, worthShare: 0, coldLoads: 0, warmLoads: 0, tooEarly: 0, otherZone: 0, meanReadTokens: 0 }
  const owners: Owner[] = []
  let loading = 0
  let sent = 0
  let requestCount = 0

  const cumulated: number[] = []
  for (let at = 1, sum = 0; at <= load.adapters; at++) cumulated.push(sum += at ** -load.skew)

  function drawAdapter (): string {
    const wanted = uniform() * cumulated.at(-1)!
    let low = 0
    let high = cumulated.length - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (cumulated[middle]! < wanted) low = middle + 1
      else high = middle
    }
    return `a${low}`
  }

  for (const zone of load.zones) {
    const engines = Array.from({ length: load.enginesPerZone }, (_, at): Engine => ({
      server: { id: `${zone}-e${at}`, bornAt: 1, service: 'llm', address: `${zone}-e${at}:1`, zone, state: 'ready', slots: spec.slots, models: [{ name: model, adapters: [] }] },
      copies: new Map(),
      held: new Map(),
      count: 0,
      cache: createPromptCache(spec.kvTokens),
      reading: [],
      decoding: [],
      stepping: false
    }))
    for (let at = 0; at < load.ownersPerZone; at++) {
      owners.push({ name: `${zone}-n${at}`, zone, scheduler: createEngineScheduler({ versionMs: 5000, mayCommand: () => true }), engines: engines.filter((_, index) => index % load.ownersPerZone === at), pending: new Map(), decidesAgain: false })
    }
  }
  const engines = owners.flatMap(owner => owner.engines.map(engine => ({ owner, engine })))
  const engineById = new Map(engines.map(({ engine }) => [engine.server.id, engine]))

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
          agenda.at(now() + hopMs, () => {
            const outcome = carryOut(engineOf(action.engine), action.command)
            agenda.at(now() + hopMs, () => perform(owner, owner.scheduler.commandResult(action.engine, outcome, now())))
          })
          break
        case 'report': {
          const report = reportOf(engineOf(action.engine))
          agenda.at(now() + reportLagMs, () => perform(owner, owner.scheduler.reported(action.engine, report, now())))
        }
      }
    }
    const next = owner.scheduler.nextAt(now())
    if (next === undefined || owner.decidesAgain) return
    owner.decidesAgain = true
    agenda.at(Math.max(now() + 1, Math.ceil(next)), () => {
      owner.decidesAgain = false
      perform(owner, owner.scheduler.tick(now()))
    })
  }

  function engineOf (id: string): Engine {
    return engineById.get(id)!
  }

  function reportOf (engine: Engine): EngineReport {
    const present = [...engine.copies].filter(([, { readyAt }]) => readyAt <= now())
    const coming = [...engine.copies].filter(([, { readyAt }]) => readyAt > now())
    const nameOf = (scope: string): string => adapterNames.get(scope)!
    return { bornAt: 1, commandCount: engine.count, models: [{ name: model, adapters: present.map(([scope]) => ({ name: nameOf(scope) })) }], loading: coming.map(([scope]) => ({ model, adapter: nameOf(scope) })), busy: false, queued: engine.reading.length, active: engine.decoding.length }
  }

  const adapterNames = new Map<string, string>()

  function carryOut (engine: Engine, command: PendingCommand): EngineCommandResult {
    if (command.expectedCount !== engine.count) return 'conflict'
    engine.count += 1
    const scope = cacheScope(command)
    adapterNames.set(scope, command.adapter!)
    if (command.operation === 'unload') {
      engine.copies.delete(scope)
      engine.cache.drop(scope)
      engine.held.delete(scope)
      engine.held.set(scope, true)
      if (engine.held.size > heldBefore) engine.held.delete(engine.held.keys().next().value!)
      return 'holds'
    }
    if (engine.copies.size >= load.adapterSlots) throw new Error(`${engine.server.id} has no place for ${scope}`)
    const warm = engine.held.has(scope)
    if (warm) result.warmLoads += 1
    else {
      result.coldLoads += 1
      loading += 1
    }
    const takesMs = warm ? warmLoadMs : load.coldLoadMs * Math.max(1, loading / load.storeLoads)
    engine.copies.set(scope, { readyAt: now() + takesMs, running: 0 })
    if (!warm) agenda.at(now() + takesMs, () => { loading -= 1 })
    return 'accepted'
  }

  function granted (owner: Owner, placeId: string, engineId: string): void {
    const { req } = owner.pending.get(placeId)!
    owner.pending.delete(placeId)
    const engine = engineOf(engineId)
    agenda.at(now() + 2 * hopMs, () => arrive(engine, owner, placeId, req))
  }

  function arrive (engine: Engine, owner: Owner, placeId: string, req: Request): void {
    const copy = engine.copies.get(cacheScope(req.demand))
    if (copy === undefined || copy.readyAt > now()) {
      result.tooEarly += 1
      return agenda.at(now() + hopMs, () => {
        end(owner, placeId, 'misdirected')
        if (req.places < maxPlaces) ask(req)
        else fail(req)
      })
    }
    sent += 1
    if (engine.server.zone !== req.zone) result.otherZone += 1
    copy.running += 1
    engine.reading.push({ req, placeId, owner, unread: 0, readTokens: 0, tokens: 0 })
    if (!engine.stepping) step(engine)
  }

  /** One step of the batch: a piece of prompts, and a token for each request that is past its prompt. */
  function step (engine: Engine): void {
    engine.stepping = engine.reading.length + engine.decoding.length > 0
    if (!engine.stepping) return
    let chunk = chunkTokens
    let readMs = 0
    for (const run of engine.reading) {
      if (chunk <= 0) break
      if (run.tokens === 0) {
        run.unread = Math.max(1, run.req.demand.promptTokens - engine.cache.cachedTokens(run.req.demand))
        run.tokens = 1
        run.readTokens = run.req.demand.promptTokens - run.unread
        result.meanReadTokens += run.unread
        engine.cache.use(run.req.demand)
      }
      const part = Math.min(chunk, run.unread)
      run.unread -= part
      chunk -= part
      readMs += part / prefillPerMs + pairMs * part * (run.readTokens + part / 2)
      run.readTokens += part
    }
    const context = engine.decoding.reduce((sum, run) => sum + run.req.demand.promptTokens + run.tokens, 0)
    const takesMs = stepMs + stepPerRunMs * engine.decoding.length + stepPerContextTokenMs * context + (readMs === 0 ? 0 : setupMs + readMs)
    agenda.at(now() + takesMs, () => {
      for (const run of [...engine.decoding]) {
        run.tokens += 1
        if (run.tokens % tokensPerEvent === 0 || run.tokens >= run.req.demand.outputTokens) event(run)
        if (run.tokens >= run.req.demand.outputTokens || isOver(run.req)) finish(engine, run)
      }
      for (const run of engine.reading.filter(({ req }) => isOver(req))) finish(engine, run)
      const started = engine.reading.filter(({ unread, tokens }) => tokens > 0 && unread === 0)
      engine.reading = engine.reading.filter(run => !started.includes(run))
      for (const run of started) {
        event(run)
        engine.decoding.push(run)
      }
      step(engine)
    })
  }

  function event ({ req, owner, placeId }: RunningRequest): void {
    if (req.firstEventAt === undefined) {
      req.firstEventAt = now()
      agenda.at(now() + 2 * hopMs, () => perform(owner, owner.scheduler.firstEvent(placeId, now())))
    } else if (now() - req.lastEventAt! > gapAimMs) req.gapsKept = false
    req.lastEventAt = now()
  }

  function isOver ({ arrivedAt, cls }: Request): boolean {
    return now() - arrivedAt > cls.deadlineMs
  }

  function finish (engine: Engine, run: RunningRequest): void {
    engine.decoding = engine.decoding.filter(other => other !== run)
    engine.reading = engine.reading.filter(other => other !== run)
    engine.copies.get(cacheScope(run.req.demand))!.running -= 1
    const { req } = run
    const entry = result.classes[req.cls.name]!
    end(run.owner, run.placeId, isOver(req) ? 'cancelled' : 'ok')
    if (isOver(req)) entry.failed += 1
    else if (req.firstEventAt! - req.arrivedAt <= req.cls.objectiveMs && req.gapsKept) entry.onTime += 1
    else {
      entry.late += 1
      if (!req.gapsKept) entry.paused += 1
    }
  }

  function end (owner: Owner, placeId: string, outcome: RunOutcome): void {
    agenda.at(now() + hopMs, () => perform(owner, owner.scheduler.ended(placeId, outcome, now())))
  }

  function fail (req: Request): void {
    result.classes[req.cls.name]!.failed += 1
  }

  function known (): EngineCandidate[] {
    return engines.map(({ owner, engine }) => ({ server: engine.server, owner: owner.name, ...board.engineStatus(engine.server.id, now()) }))
  }

  function ask (req: Request): void {
    const recent = uses.get(req.zone)!.add(cacheScope(req.demand), now())
    const ranked = rank(known(), req.demand, req.zone, recent).slice(0, maxOwners)
    askOwner(req, ranked, Infinity)
  }

  function askOwner (req: Request, ranked: string[], retryAfterMs: number): void {
    const owner = owners.find(({ name }) => name === ranked[0])
    if (owner === undefined) return turnAway(req, retryAfterMs)
    req.places += 1
    const placeId = `${req.id}#${req.places}`
    owner.pending.set(placeId, { req, rest: ranked.slice(1) })
    const { cls } = req
    const scheduled: ScheduledRequest = { id: placeId, node: 'n', service: 'llm', demand: req.demand, priority: cls.priority, objectiveAt: req.arrivedAt + cls.objectiveMs, startBy: req.arrivedAt + cls.deadlineMs, ...(load.tellsPauses ? { pauseMs: gapAimMs } : {}), deadlineAt: req.arrivedAt + cls.deadlineMs, excluded: [] }
    agenda.at(now() + hopMs, () => perform(owner, owner.scheduler.submit(scheduled, now())))
  }

  function refused (owner: Owner, placeId: string, retryAfterMs: number): void {
    const { req, rest } = owner.pending.get(placeId)!
    owner.pending.delete(placeId)
    agenda.at(now() + hopMs, () => askOwner(req, rest, retryAfterMs))
  }

  function turnAway (req: Request, retryAfterMs: number): void {
    const leftMs = req.arrivedAt + req.cls.deadlineMs - now()
    if (req.returned || retryAfterMs > leftMs / 3) result.classes[req.cls.name]!.refused += 1
    else {
      req.returned = true
      agenda.at(now() + retryAfterMs, () => ask(req))
    }
  }

  /** @returns a value with a standard deviation of the logarithm of 1 */
  function spread (mean: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - uniform())) * Math.cos(2 * Math.PI * uniform())
    return Math.max(1, mean * Math.exp(normal - 0.5))
  }

  function submit (cls: PlayedClass): void {
    const adapter = drawAdapter()
    const id = `r${++requestCount}`
    const zone = load.zones[Math.floor(uniform() * load.zones.length)]!
    const ownTokens = Math.round(Math.min(10 * cls.ownTokens, spread(cls.ownTokens)))
    const outputTokens = Math.round(Math.min(3 * cls.outputTokens, spread(cls.outputTokens)))
    const shared = cls.sharedParts.map(({ tokens, texts }, at) => ({ id: `${cls.name}-${at}-${Math.floor(uniform() * texts)}`, tokens }))
    const promptTokens = shared.reduce((sum, { tokens }) => sum + tokens, ownTokens)
    const demand: ModelDemand = { model, adapter, promptTokens, outputTokens, parts: [...shared, { id, tokens: ownTokens }] }
    result.classes[cls.name]!.asked += 1
    ask({ id, cls, zone, demand, arrivedAt: now(), returned: false, places: 0, gapsKept: true })
  }

  for (const cls of load.classes) {
    result.classes[cls.name] = { asked: 0, onTime: 0, late: 0, paused: 0, refused: 0, failed: 0, worthShare: 0 }
    const next = (): void => {
      const at = now() - Math.log(1 - uniform()) * 1000 / cls.perSecond
      if (at < load.seconds * 1000) agenda.at(at, () => { submit(cls); next() })
    }
    next()
  }
  for (const owner of owners) {
    owner.scheduler.setShare(owner.engines.length, engines.length)
    perform(owner, owner.scheduler.setEngines(owner.engines.map(({ server }) => ({ server, spec })), 0))
    const tick = (): void => {
      perform(owner, owner.scheduler.tick(now()))
      if (now() < load.seconds * 1000 + 20_000) agenda.at(now() + 50, tick)
    }
    tick()
  }
  const announce = (): void => {
    for (const owner of owners) board.setOwn(owner.name, owner.scheduler.status(now()).map(engine => ({ ...engine, commandable: true })), now())
    if (now() < load.seconds * 1000) agenda.at(now() + load.statusMs, announce)
  }
  announce()
  agenda.play(load.seconds * 1000 + 20_000)

  let owed = 0
  let earned = 0
  for (const cls of load.classes) {
    const entry = result.classes[cls.name]!
    entry.worthShare = (entry.onTime * cls.worth + entry.late * cls.lateWorth) / (entry.asked * cls.worth)
    owed += entry.asked * cls.worth
    earned += entry.onTime * cls.worth + entry.late * cls.lateWorth
  }
  result.worthShare = earned / owed
  result.meanReadTokens /= Math.max(1, sent)
  return result
}
