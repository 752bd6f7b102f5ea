import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer, EngineReport, EngineSpec, LoadedModel } from './cluster-types'
import { createEngineScheduler, type EngineScheduler, type RunOutcome, type ScheduledRequest, type SchedulerAction } from './engine-scheduler'
import type { ServerUseChange } from './server-use'

const test = suite('engine scheduler')

const spec: EngineSpec = { slots: 64, kvTokens: 232_000, weightsMb: 74_700, adapterSlots: 8, loadsPerSecond: 3, models: [{ name: 'base', weightsMb: 72_700, adapterMb: 66 }] }

function engine (id: string, adapters: string[] = [], overrides: Partial<BackendServer> = {}): BackendServer {
  const models: LoadedModel[] = [{ name: 'base', adapters: adapters.map(name => ({ name, version: 1 })) }]
  return { id, bornAt: 1, service: 'llm', address: `${id}:1`, zone: 'a', state: 'ready', slots: 64, models, ...overrides }
}

function request (id: string, adapter: string | undefined, overrides: Partial<ScheduledRequest> = {}): ScheduledRequest {
  return {
    id,
    node: 'n1',
    service: 'llm',
    demand: { model: 'base', ...(adapter === undefined ? {} : { adapter }), promptTokens: 3000, outputTokens: 50, parts: [{ id: `own-${id}`, tokens: 3000 }] },
    priority: 1,
    objectiveAt: 1000,
    startBy: overrides.deadlineAt ?? 6000,
    deadlineAt: 6000,
    excluded: [],
    ...overrides
  }
}

function report (commandCount: number, adapters: string[], overrides: Partial<EngineReport> = {}): EngineReport {
  return { bornAt: 1, commandCount, models: [{ name: 'base', adapters: adapters.map(name => ({ name, version: 1 })) }], loading: [], busy: false, queued: 0, active: 0, ...overrides }
}

type EngineCommandOf = (SchedulerAction & { type: 'command' })['command']

const actionTypes = (actions: SchedulerAction[]): string[] => actions.map(({ type }) => type)
const filterActions = <Type extends SchedulerAction['type']>(actions: SchedulerAction[], type: Type): (SchedulerAction & { type: Type })[] =>
  actions.filter((action): action is SchedulerAction & { type: Type } => action.type === type)

function createScheduler (servers: BackendServer[], reports: Record<string, string[]>, now = 0): EngineScheduler {
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => true })
  scheduler.setEngines(servers.map(server => ({ server, spec })), now)
  for (const { id } of servers) scheduler.applyReport(id, report(0, reports[id] ?? []), now)
  return scheduler
}

// Guards against an idle engine counting as busy, which refuses or delays all requests.
test('grants a request at once to an idle engine that has the adapter', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  const [grant] = filterActions(scheduler.submit(request('r1', 'a1'), 10), 'grant')
  assert.is(grant?.engine, 'e1')
  assert.is(grant?.waitedMs, 0)
})

// Guards against a request that is granted before its adapter is loaded, and against one that is never granted.
test('loads a missing adapter and grants the request when the load should be done', () => {
  const scheduler = createScheduler([engine('e1')], { e1: [] })
  const [command] = filterActions(scheduler.submit(request('r1', 'a1'), 10), 'command')
  assert.is(command?.command.operation, 'load')
  assert.is(command?.command.adapter, 'a1')
  assert.equal(actionTypes(scheduler.commandFinished('e1', 'accepted', 12)), [])
  assert.equal(actionTypes(scheduler.tick(100)), [])
  assert.is(filterActions(scheduler.tick(400), 'grant')[0]?.request, 'r1')
})

// Guards against commands to load more adapters than an engine has slots, which makes it exit.
test('never has more adapters and loads than slots, unloading idle ones first', () => {
  const loaded = Array.from({ length: 8 }, (_, index) => `a${index}`)
  const scheduler = createScheduler([engine('e1', loaded)], { e1: loaded })
  const [unload] = filterActions(scheduler.submit(request('r1', 'new'), 10), 'command')
  assert.is(unload?.command.operation, 'unload')
  const [load] = filterActions(scheduler.commandFinished('e1', 'holds', 12), 'command')
  assert.is(load?.command.operation, 'load')
  assert.is(load?.command.expectedCount, 1)
})

// Guards against a late command that is carried out after newer ones. Each command states the number of commands before it.
test('gives no command after one without a response until a report shows what was carried out', () => {
  const scheduler = createScheduler([engine('e1')], { e1: [] })
  scheduler.submit(request('r1', 'a1'), 10)
  assert.equal(actionTypes(scheduler.commandFinished('e1', 'unknown', 700)), [])
  const actions = scheduler.tick(1200)
  assert.equal(actionTypes(actions), ['report'])
  const [again] = filterActions(scheduler.applyReport('e1', report(0, []), 1250), 'command')
  assert.is(again?.command.expectedCount, 0, 'the command without a response can no longer be carried out once this one is')
  const other = createScheduler([engine('e1')], { e1: [] })
  other.submit(request('r1', 'a1'), 10)
  other.commandFinished('e1', 'unknown', 700)
  other.tick(1200)
  const granted = other.applyReport('e1', report(1, ['a1']), 1250)
  assert.is(filterActions(granted, 'grant')[0]?.request, 'r1')
})

// Guards against applying a report that is older than the newest command.
test('ignores reports older than the newest command', () => {
  const scheduler = createScheduler([engine('e1')], { e1: [] })
  scheduler.submit(request('r1', 'a1'), 10)
  scheduler.commandFinished('e1', 'accepted', 12)
  scheduler.applyReport('e1', report(0, []), 20)
  assert.is(filterActions(scheduler.tick(400), 'grant').length, 1)
})

// Guards against an estimate that grows with each refusal during one load, after which later loads look too slow to be used.
test('tests with one request whether a load is done, and corrects the estimate once', () => {
  const scheduler = createScheduler([engine('e1')], { e1: [] })
  for (let index = 0; index < 20; index++) scheduler.submit(request(`r${index}`, 'a1', { demand: { model: 'base', adapter: 'a1', promptTokens: 10, outputTokens: 10, parts: [] }, deadlineAt: 60_000 }), 0)
  scheduler.commandFinished('e1', 'accepted', 0)
  const estimates: number[] = []
  for (let now = 300; now < 800; now += 50) {
    const grants = filterActions(scheduler.tick(now), 'grant')
    assert.is(grants.length, 1)
    scheduler.ended(grants[0]!.request, 'misdirected', now + 2)
    estimates.push(scheduler.status(now + 2)[0]!.loadWaitMs)
  }
  assert.is(new Set(estimates).size, 1, 'only the first refusal corrects the estimate')
  assert.is(filterActions(scheduler.tick(850), 'grant').length, 1)
  assert.ok(filterActions(scheduler.tick(900), 'grant').length > 1, 'without a refusal the others are granted')
})

// Guards against an owner that stops loading: adapters whose requests were cancelled during the load keep their slots and count as loading.
test('a load that no request waits for any more ends on its own', () => {
  const scheduler = createScheduler([engine('e1')], { e1: [] })
  for (let index = 0; index < 12; index++) {
    const now = index * 1000
    const [command] = filterActions(scheduler.submit(request(`r${index}`, `a${index}`, { objectiveAt: now + 1000, startBy: now + 6000, deadlineAt: now + 6000 }), now), 'command')
    assert.ok(command !== undefined, `no command for request ${index}`)
    let { operation } = command.command
    if (operation === 'unload') operation = filterActions(scheduler.commandFinished('e1', 'holds', now + 2), 'command')[0]!.command.operation
    assert.is(operation, 'load')
    scheduler.commandFinished('e1', 'accepted', now + 4)
    scheduler.cancel(`r${index}`, now + 10)
    for (let at = now + 50; at < now + 1000; at += 50) scheduler.tick(at)
  }
})

// Guards against evicting an adapter that a running request uses.
test('does not unload adapters in use', () => {
  const loaded = Array.from({ length: 8 }, (_, index) => `a${index}`)
  const scheduler = createScheduler([engine('e1', loaded)], { e1: loaded })
  loaded.forEach((adapter, index) => {
    scheduler.submit(request(`r${index}`, adapter, { demand: { model: 'base', adapter, promptTokens: 100, outputTokens: 10, parts: [] } }), 10)
  })
  assert.equal(filterActions(scheduler.submit(request('r9', 'new'), 20), 'command'), [])
  const freed = filterActions(scheduler.ended('r3', 'ok', 30), 'command')
  assert.is(freed[0]?.command.adapter, 'a3')
})

// Guards against more requests for an engine at its memory limit, which would pause the running ones.
test('limits capacity by tokens, not only by requests', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  const big = (id: string): ScheduledRequest => request(id, 'a1', { demand: { model: 'base', adapter: 'a1', promptTokens: 110_000, outputTokens: 100, parts: [] }, deadlineAt: 60_000 })
  assert.is(filterActions(scheduler.submit(big('r1'), 0), 'grant').length, 1)
  scheduler.firstEvent('r1', 3500)
  assert.is(filterActions(scheduler.submit(big('r2'), 3500), 'grant').length, 0)
  assert.is(filterActions(scheduler.ended('r1', 'ok', 4000), 'grant')[0]?.request, 'r2')
})

// Guards against streams that pause while an engine prefills one prompt after the other.
test('delays a prompt whose prefill would make other streams late', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  const long = (id: string): ScheduledRequest => {
    const base = request(id, 'a1', { pauseMs: 600 })
    return { ...base, demand: { ...base.demand, promptTokens: 6000, parts: [{ id: `own-${id}`, tokens: 6000 }] } }
  }
  const short = request('r4', 'a1', { pauseMs: 600 })
  assert.is(filterActions(scheduler.submit(long('r1'), 0), 'grant').length, 1)
  assert.is(filterActions(scheduler.submit(long('r2'), 10), 'grant').length, 1)
  assert.is(filterActions(scheduler.submit(long('r3'), 210), 'grant').length, 0, 'the prefill of a third would end 600 ms after the first began')
  assert.is(filterActions(scheduler.submit(short, 215), 'grant').length, 0, '500 ms of prefill without a break')
  assert.is(filterActions(scheduler.firstEvent('r1', 220), 'grant').length, 0)
  assert.equal(filterActions(scheduler.firstEvent('r2', 410), 'grant').map(({ request }) => request), ['r3', 'r4'])
})

test('prefills one long prompt after the other if no stream can be late', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  for (const id of ['r1', 'r2', 'r3']) assert.is(filterActions(scheduler.submit(request(id, 'a1'), 0), 'grant').length, 1)
})

/** Submits prompts of 5000 tokens, each prefilled before the next one. */
function keepPrefilling (scheduler: EngineScheduler, adapter: string, count: number): number {
  for (let index = 0; index < count; index++) {
    const now = index * 170
    const base = request(`busy${index}`, adapter, { objectiveAt: now + 1000, startBy: now + 6000, deadlineAt: now + 20_000 })
    assert.is(filterActions(scheduler.submit({ ...base, demand: { ...base.demand, promptTokens: 5000, parts: [{ id: `own-${index}`, tokens: 5000 }] } }, now), 'grant').length, 1)
    scheduler.firstEvent(`busy${index}`, now + 165)
  }
  return count * 170
}

// Guards against new adapters on an engine whose streams hardly advance because it prefills without a break.
test('loads an adapter at the engine with the least prefill, even if no prompt waits at the other', () => {
  const scheduler = createScheduler([engine('e1', ['a1']), engine('e2')], { e1: ['a1'], e2: [] })
  const now = keepPrefilling(scheduler, 'a1', 20)
  const target = filterActions(scheduler.submit(request('r1', 'new', { objectiveAt: now + 1000, startBy: now + 6000, deadlineAt: now + 6000 }), now), 'command')
  assert.equal(target.map(({ engine, command }) => [engine, command.operation]), [['e2', 'load']])
})

// Guards against counting the slot of an adapter in use as available after a report.
test('a report does not make a replica idle to which a request was sent while it was loading', () => {
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => true })
  scheduler.setEngines([{ server: engine('e1'), spec: { ...spec, adapterSlots: 1 } }], 0)
  scheduler.applyReport('e1', report(0, []), 0)
  scheduler.submit(request('r1', 'a1'), 0)
  scheduler.commandFinished('e1', 'accepted', 5)
  assert.is(filterActions(scheduler.tick(400), 'grant').length, 1)
  scheduler.applyReport('e1', report(1, [], { loading: [{ model: 'base', adapter: 'a1' }] }), 405)
  scheduler.firstEvent('r1', 600)
  assert.equal(filterActions(scheduler.submit(request('r2', 'other'), 610), 'command'), [])
  assert.is(filterActions(scheduler.ended('r1', 'ok', 700), 'command')[0]?.command.operation, 'unload')
})

// Guards against less urgent requests going first in a surge.
test('grants the most urgent waiting request first when an engine becomes free', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  const long = { model: 'base', adapter: 'a1', promptTokens: 20_000, outputTokens: 50, parts: [] }
  scheduler.submit(request('running', 'a1', { demand: long }), 0)
  scheduler.submit(request('draft', 'a1', { priority: 1, objectiveAt: 2000 }), 10)
  scheduler.submit(request('short', 'a1', { priority: 0, objectiveAt: 2000 }), 20)
  const granted = filterActions(scheduler.firstEvent('running', 500), 'grant').map(({ request }) => request)
  assert.is(granted[0], 'short')
})

// Guards against queueing a request until its deadline although it cannot be served in time.
test('refuses a request at once that cannot be served before its deadline', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  for (let index = 0; index < 40; index++) scheduler.submit(request(`r${index}`, 'a1', { demand: { model: 'base', adapter: 'a1', promptTokens: 20_000, outputTokens: 50, parts: [] }, deadlineAt: 60_000 }), 0)
  const [refusal] = filterActions(scheduler.submit(request('late', 'a1', { deadlineAt: 1000, priority: 2 }), 0), 'refuse')
  assert.is(refusal?.reason, 'too-late')
  assert.ok(refusal !== undefined && refusal.retryAfterMs > 1000, 'the delay follows from the queue')
})

// Guards against a request that others overtake until its client has disconnected, without a refusal and a retry delay.
test('refuses a request that was overtaken for half of the time after its objective', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  const long = { model: 'base', adapter: 'a1', promptTokens: 9000, outputTokens: 50, parts: [] }
  scheduler.submit(request('old', 'a1', { demand: long, deadlineAt: 60_000, objectiveAt: 60_000 }), 0)
  scheduler.submit(request('overtaken', 'a1', { demand: long, objectiveAt: 100, deadlineAt: 4800 }), 0)
  const ends: SchedulerAction[] = []
  for (let now = 200; now <= 4800; now += 200) {
    ends.push(...scheduler.submit(request(`new-${now}`, 'a1', { demand: long, objectiveAt: now + 1000, deadlineAt: now + 4800 }), now))
    ends.push(...scheduler.tick(now))
  }
  const refusal = filterActions(ends, 'refuse').find(({ request }) => request === 'overtaken')
  assert.is(refusal?.reason, 'too-late')
  assert.ok(refusal !== undefined && refusal.waitedMs < 3000)
})

// Guards against a request on an older version after the time within which the new one must be in use.
test('replaces an older version: unloads it when idle and loads the new one by number', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  scheduler.submit(request('r1', 'a1'), 0)
  scheduler.firstEvent('r1', 90)
  const announced = filterActions(scheduler.setVersion({ model: 'base', adapter: 'a1', version: 2 }, 100, 100), 'command')
  assert.equal(announced, [], 'the replica of a running request stays loaded')
  const [unload] = filterActions(scheduler.ended('r1', 'ok', 300), 'command')
  assert.is(unload?.command.operation, 'unload')
  const [load] = filterActions(scheduler.commandFinished('e1', 'holds', 302), 'command')
  assert.equal([load?.command.operation, load?.command.version], ['load', 2])
  scheduler.commandFinished('e1', 'accepted', 304)
  scheduler.submit(request('r2', 'a1', { objectiveAt: 2000 }), 310)
  const [grant] = filterActions(scheduler.tick(700), 'grant')
  assert.equal([grant?.request, grant?.version], ['r2', 2])
})

const twoModels: EngineSpec = { ...spec, weightsMb: 35_000, models: [{ name: 'base', weightsMb: 20_000, adapterMb: 66 }, { name: 'other', weightsMb: 14_800, adapterMb: 66 }] }

// Guards against an engine that is ordered to load more than its memory holds, and crashes.
test('a further base model is loaded only when adapters have made room for it, and no adapters beyond the room beside both', () => {
  const adapters = ['a1', 'a2', 'a3', 'a4', 'a5']
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => true })
  const full = engine('e2', [], { models: [{ name: 'other', adapters: [] }] })
  scheduler.setEngines([{ server: engine('e1', adapters), spec: twoModels }, { server: full, spec: twoModels }], 0)
  scheduler.applyReport('e1', report(0, adapters), 0)
  scheduler.applyReport('e2', report(0, [], { models: full.models }), 0)
  const demand = { model: 'other', promptTokens: 3000, outputTokens: 50, parts: [{ id: 'own', tokens: 3000 }] }
  const commandsFor = (actions: SchedulerAction[]): EngineCommandOf[] => filterActions(actions, 'command').filter(action => action.engine === 'e1').map(({ command }) => command)
  let now = 10
  let commands: EngineCommandOf[] = []
  for (let index = 0; index < 80 && commands.length === 0; index++) commands = commandsFor(scheduler.submit(request(`r${index}`, undefined, { demand, objectiveAt: 50_000, deadlineAt: 60_000 }), now))
  let unloaded = 0
  for (; commands[0]?.operation === 'unload'; unloaded++) {
    now += 10
    commands = commandsFor(scheduler.commandFinished('e1', 'holds', now))
  }
  assert.is(unloaded, 2, 'both models leave room for three adapters of 66 MB')
  assert.equal(commands.map(({ operation, model, adapter }) => [operation, model, adapter]), [['load', 'other', undefined]])
  scheduler.commandFinished('e1', 'accepted', now + 10)
  const later = [...scheduler.submit(request('late', 'a9', { objectiveAt: 50_000, deadlineAt: 60_000 }), now + 20), ...scheduler.tick(now + 60)]
  assert.equal(commandsFor(later).filter(({ operation }) => operation === 'load'), [], 'the model on its way counts')
})

// Guards against replicas that are two and more versions old, which each announcement made usable again.
test('each version is judged from its own announcement, whatever follows it', () => {
  for (const gapMs of [500, 1000, 3000]) {
    const ids = ['e1', 'e2', 'e3']
    const scheduler = createScheduler(ids.map(id => engine(id, ['a1'])), Object.fromEntries(ids.map(id => [id, ['a1']])))
    let now = 100
    for (let version = 2; now < 100 + 3500; version++, now += gapMs) scheduler.setVersion({ model: 'base', adapter: 'a1', version }, now, now)
    const early = filterActions(scheduler.submit(request('r1', 'a1', { deadlineAt: 60_000 }), 3590), 'grant')
    assert.is(early.length, 1, `versions every ${gapMs} ms: the first one need not be in use yet`)
    scheduler.setVersion({ model: 'base', adapter: 'a1', version: 99 }, 3595, 3595)
    const late = filterActions(scheduler.submit(request('r2', 'a1', { deadlineAt: 60_000 }), 3610), 'grant')
    assert.equal(late, [], `versions every ${gapMs} ms: the first one must be in use`)
  }
})

// Guards against a node that has just started or was partitioned and uses an older version as if its successor had just been announced.
test('does not use an older replica if the new version may have been announced long ago', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  scheduler.setVersion({ model: 'base', adapter: 'a1', version: 2 }, -Infinity, 100)
  assert.equal(filterActions(scheduler.submit(request('r1', 'a1'), 110), 'grant'), [])
})

// Guards against a replica that was loaded before an announcement and counts as loaded when this owner first saw it.
test('a replica of unstated version that another owner loaded is as old as the oldest version', () => {
  const models = [{ name: 'base', adapters: [{ name: 'a1' }] }]
  const scheduler = createScheduler([], {})
  scheduler.setVersion({ model: 'base', adapter: 'a1', version: 2 }, 100, 100)
  scheduler.setEngines([{ server: engine('e1', [], { models }), spec }], 200)
  scheduler.applyReport('e1', report(0, [], { models }), 200)
  assert.equal(filterActions(scheduler.submit(request('r1', 'a1', { deadlineAt: 60_000 }), 4000), 'grant'), [])
})

// Guards against an owner that gives commands while another may still do so.
test('without permission for commands it serves loaded adapters and refuses the others', () => {
  const scheduler = createEngineScheduler({ versionMs: 5000, mayCommand: () => false })
  scheduler.setEngines([{ server: engine('e1', ['a1']), spec }], 0)
  scheduler.applyReport('e1', report(0, ['a1']), 0)
  assert.is(filterActions(scheduler.submit(request('r1', 'a1'), 0), 'grant').length, 1)
  assert.is(filterActions(scheduler.submit(request('r2', 'a2'), 0), 'refuse')[0]?.reason, 'cannot-load')
})

// Guards against more requests for an engine that no longer responds, and against waiting for it forever.
test('requests a report from an engine that does not respond and avoids it if there is none', () => {
  const scheduler = createScheduler([engine('e1', ['a1']), engine('e2', ['a1'])], { e1: ['a1'], e2: ['a1'] })
  const first = filterActions(scheduler.submit(request('r1', 'a1'), 0), 'grant')[0]!.engine
  const actions = scheduler.tick(2000)
  assert.equal(filterActions(actions, 'report').map(({ engine }) => engine), [first])
  scheduler.applyReport(first, undefined, 2700)
  const other = filterActions(scheduler.submit(request('r2', 'a1', { objectiveAt: 4000 }), 2710), 'grant')[0]!.engine
  assert.is.not(other, first)
})

// Guards against keeping the state of an engine that restarted under its id.
test('a restarted engine has nothing loaded until it reports, and loads its base model first', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  scheduler.setEngines([{ server: engine('e1', [], { bornAt: 9, models: [] }), spec }], 100)
  assert.is(filterActions(scheduler.submit(request('r1', 'a1'), 110), 'grant').length, 0)
  scheduler.tick(200)
  const [command] = filterActions(scheduler.applyReport('e1', { ...report(0, []), bornAt: 9, models: [] }, 210), 'command')
  assert.equal([command?.command.operation, command?.command.model, command?.command.adapter], ['load', 'base', undefined])
})

// Guards against releasing a long stream at the time that applies only to its first event.
test('counts a stream as running until its deadline', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  scheduler.submit(request('r1', 'a1', { startBy: 4800, deadlineAt: 15_000 }), 0)
  scheduler.firstEvent('r1', 100)
  scheduler.tick(9000)
  assert.is(scheduler.status(9000)[0]?.running, 1)
  scheduler.tick(17_000)
  assert.is(scheduler.status(17_000)[0]?.running, 0)
})

// Guards against requests that count as running after their node has failed.
test('releases the requests of a lost node', () => {
  const scheduler = createScheduler([engine('e1', ['a1'])], { e1: ['a1'] })
  scheduler.submit(request('r1', 'a1'), 0)
  assert.is(scheduler.status(0)[0]?.running, 1)
  scheduler.nodeLost('n1', 10)
  assert.is(scheduler.status(10)[0]?.running, 0)
})

// Guards against an engine that gets more requests than it states while another one is free.
test('an engine that states a limit gets that many requests, and the others take the rest', () => {
  const servers = [engine('e1'), engine('e2')]
  const scheduler = createScheduler(servers, { e1: [], e2: [] })
  scheduler.setEngines([{ server: servers[0]!, spec, requestsPerSecond: 2 }, { server: servers[1]!, spec }], 0)
  const counts = new Map<string, number>()
  for (let now = 0; now < 5000; now += 100) {
    const id = `r${now}`
    const actions = scheduler.submit(request(id, undefined, { objectiveAt: now + 1000, deadlineAt: now + 6000 }), now)
    for (const { engine: granted } of filterActions(actions, 'grant')) counts.set(granted, (counts.get(granted) ?? 0) + 1)
    for (const { request: ended } of filterActions(actions, 'grant')) scheduler.ended(ended, 'ok', now + 50)
  }
  assert.ok(counts.get('e1')! <= 11, `${counts.get('e1')} requests in 5 s at a limit of 2 a second`)
  assert.is(counts.get('e1')! + counts.get('e2')!, 50)
})

// Guards against requests that wait at an owner for their turn until they are late, although other owners have engines without a limit.
test('a request that would be late at engines with a limit is refused at once, with the time until one is free', () => {
  const server = engine('e1')
  const scheduler = createScheduler([server], { e1: [] })
  scheduler.setEngines([{ server, spec, requestsPerSecond: 0.5 }], 0)
  const submitAt = (id: string, now: number): SchedulerAction[] => scheduler.submit(request(id, undefined, { objectiveAt: now + 1000, deadlineAt: now + 6000 }), now)
  assert.equal(actionTypes(submitAt('r1', 0)), ['grant'])
  scheduler.ended('r1', 'ok', 50)
  const [refusal] = filterActions(submitAt('r2', 100), 'refuse')
  assert.equal([refusal?.reason, refusal?.retryAfterMs], ['limited', 1900])
  assert.equal(actionTypes(submitAt('r3', 1200)), [])
  assert.equal(actionTypes(scheduler.tick(1900)), [])
  assert.is(scheduler.nextDecisionAt(1900), 2000)
  assert.equal(actionTypes(scheduler.tick(2000)), ['grant'])
})

// Guards against requests that wait for nearly all of their objective for their turn and are then refused, because a decision comes late.
test('a late decision costs no request its turn at an engine with a limit', () => {
  for (const lateMs of [0, 60, 200]) {
    const server = engine('e1')
    const scheduler = createScheduler([server], { e1: [] })
    scheduler.setEngines([{ server, spec, requestsPerSecond: 2 }], 0)
    const submitAt = (id: string, now: number): SchedulerAction[] => scheduler.submit(request(id, undefined, { objectiveAt: now + 1000, deadlineAt: now + 6000 }), now)
    const grantedIn = (actions: SchedulerAction[]): string[] => actions.map(action => action.type === 'grant' ? action.request : action.type)
    assert.equal(grantedIn(submitAt('r1', 0)), ['r1'])
    assert.equal(grantedIn(submitAt('r2', 0)), [])
    scheduler.ended('r1', 'ok', 50)
    assert.equal(grantedIn(submitAt('r3', 60)), [])
    assert.equal(filterActions(submitAt('r4', 70), 'refuse').map(({ reason, waitedMs }) => [reason, waitedMs]), [['limited', 0]])
    assert.equal(grantedIn(scheduler.tick(500 + lateMs)), ['r2'])
    scheduler.ended('r2', 'ok', 550 + lateMs)
    assert.equal(grantedIn(submitAt('r5', 1070 + lateMs)), ['r3'])
  }
})

// Guards against requests that are held although their turn has become far too late.
test('a request that waits for its turn is refused as soon as a lower limit makes it late', () => {
  const server = engine('e1')
  const scheduler = createScheduler([server], { e1: [] })
  scheduler.setEngines([{ server, spec, requestsPerSecond: 2 }], 0)
  for (const id of ['r1', 'r2', 'r3']) scheduler.submit(request(id, undefined, { objectiveAt: 1100 }), 0)
  const refusals = filterActions(scheduler.setEngines([{ server, spec, requestsPerSecond: 0.5 }], 100), 'refuse')
  assert.equal(refusals.map(({ request, reason, waitedMs }) => [request, reason, waitedMs]), [['r3', 'limited', 100]])
})

// Guards against an adapter that is served only as fast as the limit of its engine while others have room.
test('an adapter whose engine states a limit is loaded on another engine', () => {
  const servers = [engine('e1', ['a1']), engine('e2')]
  const scheduler = createScheduler(servers, { e1: ['a1'], e2: [] })
  scheduler.setEngines([{ server: servers[0]!, spec, requestsPerSecond: 1 }, { server: servers[1]!, spec }], 0)
  assert.is(filterActions(scheduler.submit(request('r1', 'a1'), 0), 'grant')[0]?.engine, 'e1')
  const [command] = filterActions(scheduler.submit(request('r2', 'a1'), 10), 'command')
  assert.equal([command?.engine, command?.command.operation, command?.command.adapter], ['e2', 'load', 'a1'])
})

// Guards against an owner that forgets the limit when it learns of other engines, and against a limit of a former start.
test('a limit lasts while it is stated, and ends with the start of the engine that stated it', () => {
  const server = engine('e1')
  const scheduler = createScheduler([server], { e1: [] })
  scheduler.setEngines([{ server, spec, requestsPerSecond: 1 }], 0)
  assert.equal(actionTypes(scheduler.submit(request('r1', undefined), 0)), ['grant'])
  scheduler.setEngines([{ server, spec, requestsPerSecond: 1 }], 10)
  assert.equal(actionTypes(scheduler.submit(request('r2', undefined, { objectiveAt: 2000 }), 20)), [])
  assert.ok(actionTypes(scheduler.setEngines([{ server: { ...server, bornAt: 2 }, spec }], 30)).includes('grant'))
})

/** Grants a request and reports its outcome. @returns the engine that it was granted to */
function runOnce (scheduler: EngineScheduler, id: string, outcome: RunOutcome, at: number, streams = false): string | undefined {
  const [grant] = filterActions(scheduler.submit(request(id, undefined, { objectiveAt: at + 1000, deadlineAt: at + 6000 }), at), 'grant')
  if (grant === undefined) return undefined
  if (streams) scheduler.firstEvent(id, at)
  scheduler.ended(id, outcome, at)
  return grant.engine
}

// Guards against an engine whose responses are all given up and that goes on getting requests.
for (const streams of [false, true]) {
  test(`avoids an engine after two unusable responses in succession, and tries it with one request (${streams ? 'after' : 'before'} a first event)`, () => {
    const scheduler = createScheduler([engine('e1')], {})
    assert.equal(['r1', 'r2', 'r3'].map(id => runOnce(scheduler, id, 'unusable', 10, streams)), ['e1', 'e1', undefined])
    scheduler.applyReport('e1', report(0, []), 300)
    assert.is(runOnce(scheduler, 'r4', 'ok', 300), undefined, 'a report does not end the avoidance')
    const later = (id: string, at: number): number => filterActions(scheduler.submit(request(id, undefined, { objectiveAt: at + 1000, deadlineAt: at + 6000 }), at), 'grant').length
    assert.equal([later('r5', 600), later('r6', 600)], [1, 0])
    if (streams) assert.equal(filterActions(scheduler.firstEvent('r5', 600), 'grant'), [])
    scheduler.cancel('r6', 600)
    scheduler.ended('r5', 'unusable', 600)
    assert.is(runOnce(scheduler, 'r7', 'ok', 1500), undefined, 'the next avoidance is longer')
    assert.equal([later('r8', 1700), later('r9', 1700)], [1, 0])
    assert.is(filterActions(scheduler.ended('r8', 'ok', 1800), 'grant')[0]?.request, 'r9')
    assert.is(later('r10', 1800), 1)
  })
}

// Guards against a sound engine that is avoided because of single requests.
test('avoids no engine whose unusable responses have successes between them, or that fails requests otherwise', () => {
  const scheduler = createScheduler([engine('e1')], {})
  const outcomes: RunOutcome[] = ['unusable', 'ok', 'unusable', 'ok', 'failed', 'failed', 'disconnected', 'disconnected', 'failed', 'unusable']
  assert.equal(outcomes.map((outcome, index) => runOnce(scheduler, `r${index}`, outcome, 10 + index)), outcomes.map(() => 'e1'))
  assert.is(runOnce(scheduler, 'last', 'ok', 30), 'e1')
})

// Guards against an avoidance whose length depends on how many requests were at the engine.
test('unusable responses that end together count as one failed contact', () => {
  const scheduler = createScheduler([engine('e1')], {})
  const ids = ['r1', 'r2', 'r3', 'r4', 'r5']
  for (const id of ids) scheduler.submit(request(id, undefined, { demand: { model: 'base', promptTokens: 10, outputTokens: 10, parts: [{ id, tokens: 10 }] } }), 10)
  for (const id of ids) scheduler.ended(id, 'unusable', 20)
  assert.is(runOnce(scheduler, 'r6', 'ok', 400), undefined)
  assert.is(runOnce(scheduler, 'r7', 'ok', 600), 'e1')
})

// Guards against a log that does not say why an engine gets no requests, and one with a line for each request.
test('reports each change of an engine\'s use once', () => {
  const scheduler = createScheduler([engine('e1')], {})
  const changes: ServerUseChange[] = []
  const collect = (actions: SchedulerAction[]): void => { changes.push(...filterActions(actions, 'use').map(({ change }) => change)) }
  for (const [outcome, at] of [['unusable', 0], ['unusable', 0], ['unusable', 500], ['ok', 2000]] as const) {
    const id = `r${changes.length}-${at}`
    collect(scheduler.submit(request(id, undefined, { objectiveAt: at + 1000, deadlineAt: at + 6000 }), at))
    collect(scheduler.ended(id, outcome, at))
    collect(scheduler.tick(at))
  }
  assert.equal(changes, [
    { server: 'e1', use: 'ejected', failures: 2, forMs: 500 },
    { server: 'e1', use: 'probation', failures: 2 },
    { server: 'e1', use: 'ejected', failures: 3, forMs: 1000 },
    { server: 'e1', use: 'probation', failures: 3 },
    { server: 'e1', use: 'in-use', failures: 0 }
  ])
})

test.run()
