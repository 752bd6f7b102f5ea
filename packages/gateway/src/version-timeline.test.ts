/** Requests, loads and announcements of versions in simulated time, with an owner that hears late, pauses, loses responses of its engines and sees them restart. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createAdapterVersions } from './adapter-versions'
import type { BackendServer, EngineCommandResult, EngineReport, EngineSpec } from './cluster-types'
import { createEngineScheduler, type SchedulerAction } from './engine-scheduler'
import type { PendingCommand } from './engine-state'
import { cacheScope } from './prompt-cache'

const test = suite('version timeline')

const versionMs = 5000
const endAt = 30_000
const stepMs = 10
const seeds = 60
const reportLagMs = 200
const adapters = ['a1', 'a2', 'a3']
const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: 2, loadsPerSecond: 3, models: [{ name: 'base', weightsMb: 72_700, adapterMb: 66 }] }

function createRandom (seed: number): { between (from: number, to: number): number, happens (share: number): boolean } {
  let state = seed * 2_654_435_761 >>> 0
  const next = (): number => {
    state = Math.imul(state ^ state >>> 15, 0x2c1b3c6d) + 0x9e3779b9 >>> 0
    return ((state ^ state >>> 13) >>> 0) / 2 ** 32
  }
  return { between: (from, to) => Math.floor(from + next() * (to - from + 1)), happens: share => next() < share }
}

type Held = { version: number, readyAt: number }
type Engine = { id: string, bornAt: number, count: number, held: Map<string, Held>, past: { at: number, report: EngineReport }[] }

/** @returns how long after the acknowledgement of a newer version requests began on an older one, in ms, and how many began */
function play (seed: number): { latestMs: number, began: number } {
  const random = createRandom(seed)
  const isOwnerLate = random.happens(0.5)
  const statesVersions = random.happens(0.7)
  const announced = new Map(adapters.map(name => [name, [{ version: 1, at: -Infinity }]]))
  const engines = ['e1', 'e2', 'e3'].map((id): Engine => ({ id, bornAt: 1, count: 0, held: new Map(), past: [] }))
  const versions = createAdapterVersions(versionMs)
  const scheduler = createEngineScheduler({ versionMs, mayCommand: () => true })
  const events: { at: number, run (): void }[] = []
  let ownerBackAt = 0
  let now = 0
  let latestMs = -Infinity
  let began = 0

  const later = (ms: number, run: () => void): void => { events.push({ at: now + ms, run }) }
  const newest = (name: string): number => announced.get(name)!.at(-1)!.version
  /** Whatever comes to the owner while it is stopped waits, the announcements longest. */
  const toOwner = (ms: number, run: () => SchedulerAction[], isAnnouncement = false): void => later(ms, () => {
    if (now < ownerBackAt) toOwner(ownerBackAt - now + (isAnnouncement ? 50 : 0), run, isAnnouncement)
    else perform(run())
  })
  const serverOf = ({ id, bornAt }: Engine): BackendServer => ({ id, bornAt, service: 'llm', address: id, zone: 'a', state: 'ready', slots: 64, models: [{ name: 'base', adapters: [] }] })
  const setEngines = (): SchedulerAction[] => scheduler.setEngines(engines.map(engine => ({ server: serverOf(engine), spec })), now)

  function reportOf ({ bornAt, count, held }: Engine): EngineReport {
    const list = (isReady: boolean): string[] => [...held].filter(([, { readyAt }]) => (readyAt <= now) === isReady).map(([name]) => name)
    return { bornAt, commandCount: count, models: [{ name: 'base', adapters: list(true).map(name => ({ name, ...(statesVersions ? { version: held.get(name)!.version } : {}) })) }], loading: list(false).map(adapter => ({ model: 'base', adapter })), busy: false, queued: 0, active: 0 }
  }

  function carryOut (engine: Engine, { operation, adapter, version, expectedCount }: PendingCommand): EngineCommandResult {
    if (engine.count !== expectedCount) return 'conflict'
    engine.count += 1
    if (operation === 'unload') {
      engine.held.delete(adapter!)
      return 'holds'
    }
    engine.held.set(adapter!, { version: version ?? newest(adapter!), readyAt: now + random.between(20, 400) })
    return 'accepted'
  }

  function command (engine: Engine, pending: PendingCommand, attempt: number): void {
    const isLost = random.happens(0.15)
    if (isLost && random.happens(0.5)) later(random.between(0, 3000), () => carryOut(engine, pending))
    const result = isLost ? 'unknown' : carryOut(engine, pending)
    if (result === 'unknown' && attempt < 3) return later(150, () => command(engine, pending, attempt + 1))
    toOwner(5, () => scheduler.commandFinished(engine.id, result === 'conflict' && attempt > 1 ? 'accepted' : result, now))
  }

  function send (id: string, name: string, engine: Engine, granted: number | undefined): void {
    const expected = versions.versionToName(cacheScope({ model: 'base', adapter: name }), granted, now)
    const held = engine.held.get(name)
    if (held === undefined || held.readyAt > now || (expected !== undefined && expected !== held.version)) return toOwner(2, () => scheduler.ended(id, 'misdirected', now))
    later(random.between(20, 300), () => {
      const newer = announced.get(name)!.find(({ version }) => version > held.version)
      if (newer !== undefined) latestMs = Math.max(latestMs, now - newer.at)
      began += 1
      toOwner(2, () => scheduler.firstEvent(id, now))
      toOwner(500, () => scheduler.ended(id, 'ok', now))
    })
  }

  function perform (actions: SchedulerAction[]): void {
    for (const action of actions) {
      if (action.type === 'refuse' || action.type === 'use') continue
      const engine = engines.find(({ id }) => id === action.engine)!
      if (action.type === 'command') command(engine, action.command, 1)
      else if (action.type === 'report') toOwner(5, () => scheduler.applyReport(engine.id, engine.past.findLast(({ at }) => at <= now - reportLagMs)?.report ?? reportOf(engine), now))
      else later(random.happens(0.02) ? random.between(100, 4000) : random.between(1, 10), () => send(action.request, action.request.split('-')[0]!, engine, action.version))
    }
  }

  function announce (name: string): void {
    const version = newest(name) + random.between(1, 3)
    const at = now
    const entry = { model: 'base', adapter: name, version }
    announced.get(name)!.push({ version, at })
    later(random.between(5, 200), () => versions.add(entry, random.happens(0.05) ? -Infinity : at - random.between(0, 250), now))
    toOwner(isOwnerLate ? random.between(0, 9000) : random.between(5, 200), () => scheduler.setVersion(entry, random.happens(0.05) ? -Infinity : at - random.between(0, 250), now), true)
  }

  perform(setEngines())
  for (let count = 0; now < endAt; now += stepMs, count++) {
    for (const engine of engines) {
      engine.past = [...engine.past.slice(-30), { at: now, report: reportOf(engine) }]
      if (!random.happens(0.0003)) continue
      Object.assign(engine, { bornAt: engine.bornAt + 1, count: 0, held: new Map(), past: [] })
      toOwner(random.between(0, 1200), setEngines)
    }
    const due = events.filter(({ at }) => at <= now)
    for (const event of due) events.splice(events.indexOf(event), 1)
    for (const { run } of due) run()
    if (random.happens(0.005)) announce(adapters[random.between(0, 2)]!)
    if (now >= ownerBackAt && random.happens(0.0015)) ownerBackAt = now + random.between(500, 8000)
    if (now >= ownerBackAt && count % 5 === 0) perform(scheduler.tick(now))
    if (!random.happens(0.2)) continue
    const name = adapters[random.between(0, 2)]!
    const demand = { model: 'base', adapter: name, promptTokens: 300, outputTokens: 50, parts: [] }
    toOwner(2, () => scheduler.submit({ id: `${name}-${count}`, node: 'n1', service: 'llm', demand, priority: 1, objectiveAt: now + 1000, startBy: now + 4000, deadlineAt: now + 8000, excluded: [] }, now))
  }
  return { latestMs, began }
}

// Guards against any order of announcements, grants, loads, late commands, stops and restarts in which a request begins on an older version after its time.
test('no request begins on an older version after its time', () => {
  let began = 0
  for (let seed = 1; seed <= seeds; seed++) {
    const played = play(seed)
    began += played.began
    assert.ok(played.latestMs <= versionMs, `seed ${seed}: ${played.latestMs} ms`)
  }
  assert.ok(began > seeds * 100, `${began} requests began`)
})

test.run()
