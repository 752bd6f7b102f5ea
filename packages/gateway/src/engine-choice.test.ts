import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseWithoutOwner, rankOwners, type EngineCandidate } from './engine-choice'
import { cacheScope } from './prompt-cache'

const test = suite('engine choice')

const demand = (adapter: string) => ({ model: 'base', adapter, promptTokens: 100, outputTokens: 10, parts: [] })

function engine (id: string, zone: string, owner: string, overrides: Partial<EngineCandidate> = {}): EngineCandidate {
  return { server: { id, bornAt: 1, service: 'llm', address: `${id}:1`, zone, state: 'ready', slots: 64, models: [] }, owner, commandable: true, scopes: new Set(), backlogMs: 0, running: 0, loadWaitMs: 250, ageMs: 0, ...overrides }
}

const zones = ['a', 'b', 'c']
const idle = zones.flatMap(zone => [engine(`${zone}1`, zone, `owner-${zone}`), engine(`${zone}2`, zone, `owner-${zone}`)])
const adapters = Array.from({ length: 30 }, (_, index) => `x${index}`)

// Guards against loading a rare adapter in each zone that requests it.
test('all zones prefer the same owner for an adapter that no engine has, and adapters spread over the owners', () => {
  const owners = adapters.map(adapter => {
    const firsts = new Set(zones.map(zone => rankOwners(idle, demand(adapter), zone, 1)[0]))
    assert.is(firsts.size, 1)
    return [...firsts][0]
  })
  assert.is(new Set(owners).size, zones.length)
})

test('an adapter in frequent use gets a replica in the own zone', () => {
  for (const adapter of adapters) assert.is(rankOwners(idle, demand(adapter), 'b', 50)[0], 'owner-b')
})

test('a request goes to the owner that has its adapter', () => {
  const scope = cacheScope(demand('x1'))
  for (const holder of zones) {
    const engines = idle.map(candidate => candidate.server.id === `${holder}2` ? { ...candidate, scopes: new Set([scope]) } : candidate)
    for (const zone of zones) assert.is(rankOwners(engines, demand('x1'), zone, 1)[0], `owner-${holder}`)
  }
})

// Guards against waiting for one overloaded owner while others have room.
test('a load goes to another owner when the preferred one would make it wait', () => {
  for (const adapter of adapters) {
    const preferred = rankOwners(idle, demand(adapter), 'a', 1)[0]!
    const busy = idle.map(candidate => candidate.owner === preferred ? { ...candidate, loadWaitMs: 2000 } : candidate)
    assert.is.not(rankOwners(busy, demand(adapter), 'a', 1)[0], preferred)
  }
})

test('an owner that may give no commands gets no loads', () => {
  const engines = idle.map(candidate => candidate.owner === 'owner-a' ? { ...candidate, commandable: false } : candidate)
  for (const adapter of adapters) assert.not.ok(rankOwners(engines, demand(adapter), 'a', 1).includes('owner-a'))
})

// Guards against a load in each zone for the adapters of an owner whose engines state limits.
test('all zones prefer the same other owner while the engines of one state limits', () => {
  const limited = idle.map(candidate => candidate.owner === 'owner-a' ? { ...candidate, limited: true, backlogMs: 600 } : candidate)
  for (const adapter of adapters) {
    const firsts = new Set(zones.map(zone => rankOwners(limited, demand(adapter), zone, 1)[0]))
    assert.is(firsts.size, 1)
    assert.not.ok(firsts.has('owner-a'))
  }
})

// Guards against nodes that each send to an engine that accepts only a few requests from all of them.
test('an engine that states a limit is not used without its owner', () => {
  const scopes = new Set([cacheScope(demand('x1'))])
  const engines = [engine('e1', 'a', 'owner-a', { scopes, limited: true }), engine('e2', 'b', 'owner-b', { scopes })]
  assert.is(chooseWithoutOwner(engines, demand('x1'), 'a', { excluded: [] }, () => 0)?.id, 'e2')
  assert.is(chooseWithoutOwner(engines.slice(0, 1), demand('x1'), 'a', { excluded: [] }, () => 0), undefined)
})

// Guards against nodes that all send to the same engine, because they have the same statuses.
test('requests without an owner spread over the engines of a zone', () => {
  const engines = Array.from({ length: 42 }, (_, index) => engine(`e${index}`, zones[index % 3]!, `owner-${index}`, { running: index % 4, ageMs: 1000 }))
  const total = new Map<string, number>()
  for (let node = 0; node < 74; node++) {
    const own = new Map<string, number>()
    for (let index = 0; index < 3; index++) {
      const { id, zone } = chooseWithoutOwner(engines, { model: 'base', promptTokens: 100, outputTokens: 10, parts: [] }, zones[node % 3]!, { excluded: [] }, id => own.get(id) ?? 0, `r${node}-${index}`)!
      assert.is(zone, zones[node % 3])
      own.set(id, (own.get(id) ?? 0) + 1)
      total.set(id, (total.get(id) ?? 0) + 1)
    }
  }
  const largestOverMean = Math.max(...total.values()) / (74 * 3 / 42)
  assert.ok(largestOverMean < 3, String(largestOverMean))
})

// Guards against nodes without an owner that send as much to slow engines as to others.
test('a faster engine is chosen without an owner', () => {
  const scopes = new Set([cacheScope(demand('x1'))])
  const engines = [engine('e1', 'a', 'owner-a', { scopes, speed: 0.5 }), engine('e2', 'a', 'owner-a', { scopes, speed: 1.2 })]
  // For a short prompt the difference is below that of one request in progress, which statuses do not tell.
  assert.is(chooseWithoutOwner(engines, { ...demand('x1'), promptTokens: 9000 }, 'a', { excluded: [] }, () => 0)?.id, 'e2')
})

test.run()
