import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { EngineSpec, ModelDemand } from './cluster-types'
import { createEngineState, prefillTokensPerMs, type EngineState } from './engine-state'
import { choosePromptSource } from './prompt-fetch'

const test = suite('prompt fetch')

const fastLink = { kvTokenBytes: 160_000, linkMbps: 1_000_000 }
const demand: ModelDemand = { model: 'base', adapter: 'a1', promptTokens: 9000, outputTokens: 50, parts: [{ id: 'p1', tokens: 2500 }, { id: 'p2', tokens: 3800 }, { id: 'own', tokens: 2700 }] }

function engine (id: string, overrides: { zone?: string, version?: string, adapterVersion?: number, link?: Partial<EngineSpec>, holds?: ModelDemand } = {}): EngineState {
  const { zone = 'a', version = '1', adapterVersion = 4, link = fastLink, holds } = overrides
  const spec: EngineSpec = { slots: 64, kvTokens: 200_000, weightsMb: 1000, adapterSlots: 8, loadsPerSecond: 1, models: [{ name: 'base', weightsMb: 900, adapterMb: 1 }], ...link }
  const models = [{ name: 'base', adapters: [{ name: 'a1', version: adapterVersion }] }]
  const state = createEngineState({ id, bornAt: 1, service: 'llm', version, address: `${id}:1`, zone, state: 'ready', slots: 64, models }, spec, 0)
  if (holds !== undefined) state.cache.use(holds)
  return state
}

const target = engine('t')
const shared: ModelDemand = { ...demand, parts: [...demand.parts.slice(0, 2), { id: 'other', tokens: 2700 }] }

// Guards against prompt parts that are prefilled again although a neighbour has them.
test('the engine that keeps most of the prompt is the source', () => {
  const sources = [engine('s1', { holds: { ...demand, parts: demand.parts.slice(0, 1) } }), engine('s2', { holds: shared }), target]
  const source = choosePromptSource(sources, target, demand, 0)
  assert.equal([source?.engine.server.id, source?.tokens], ['s2', 6300])
  assert.ok(source!.savedMs > 0.8 * 6300 / prefillTokensPerMs(target, 0))
})

// Guards against memory of other weights or another program, transfers between zones, and transfers that take longer than they save.
test('nothing is fetched from other versions, other zones, silent engines, over slow links or for little', () => {
  const silent = engine('s', { holds: shared })
  silent.avoidedUntil = 100
  const others = [engine('s', { holds: shared, zone: 'b' }), engine('s', { holds: shared, version: '2' }), engine('s', { holds: shared, adapterVersion: 3 }), engine('s'), silent]
  for (const other of others) assert.is(choosePromptSource([other], target, demand, 0), undefined)
  const slow = engine('t', { link: { ...fastLink, linkMbps: 150_000 } })
  assert.is(choosePromptSource([engine('s', { holds: shared })], slow, demand, 0), undefined)
  assert.is(choosePromptSource([engine('s', { holds: shared })], engine('t', { link: {} }), demand, 0), undefined)
  const small: ModelDemand = { ...demand, parts: [{ id: 'p3', tokens: 200 }, { id: 'own', tokens: 8800 }] }
  assert.is(choosePromptSource([engine('s', { holds: small })], target, { ...small, parts: [small.parts[0]!, { id: 'new', tokens: 8800 }] }, 0), undefined)
})

test.run()
