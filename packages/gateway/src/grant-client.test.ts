import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createGrantClient, type GrantMessage, type GrantRequest, type GrantClient } from './grant-client'

const test = suite('places')

const server = { id: 'e1', bornAt: 1, service: 'llm', address: 'e1:1', zone: 'a', state: 'ready' as const, slots: 4, models: [] }

function request (objectiveInMs: number): GrantRequest {
  const now = performance.now()
  return { grantId: 'r1#1', requestId: 'r1', service: 'llm', demand: { model: 'base', adapter: 'a1', promptTokens: 10, outputTokens: 5, parts: [] }, priority: 1, objectiveAt: now + objectiveInMs, startBy: now + 4000, deadlineAt: now + 4000, excluded: [] }
}

/** @param answers - what the owner says to each request, in order */
function start (answers: ('granted' | 'refused')[], settling: boolean): { places: GrantClient, asked: string[] } {
  const asked: string[] = []
  const places: GrantClient = createGrantClient({
    now: () => performance.now(),
    zone: 'a',
    engines: () => [{ server, owner: 'n1', commandable: true, scopes: new Set(), backlogMs: 0, running: 0, loadWaitMs: 0, ageMs: 0 }],
    server: () => server,
    startingUp: () => settling,
    newestVersion: () => undefined,
    async send (owner: string, message: GrantMessage) {
      if (message.kind !== 'acquire') return true
      const { id } = message.place
      asked.push(id)
      const kind = answers[asked.length - 1] ?? 'refused'
      setTimeout(() => places.replyReceived(owner, kind === 'granted' ? { kind, id, engine: 'e1' } : { kind, id, reason: 'no-engine', retryAfterMs: 1000 }), 1)
      return true
    },
    log () {}
  })
  return { places, asked }
}

// Guards against a refusal with a pause of a second while owners that have just started take their engines back.
test('asks again while owners that have just started own nothing yet', async () => {
  const { places, asked } = start(['refused', 'refused', 'granted'], true)
  const answer = await places.acquire(request(1000))
  assert.is(answer.type, 'place')
  assert.is(new Set(asked).size, 3, 'an owner repeats its answer to a request that it knows')
})

test('refuses at once when no engine is there and nobody has just started', async () => {
  const { places, asked } = start([], false)
  const sentAt = performance.now()
  assert.is((await places.acquire(request(1000))).type, 'refused')
  assert.is(asked.length, 1)
  assert.ok(performance.now() - sentAt < 70)
})

// Guards against holding a request that cannot be on time any more.
test('stops asking before the objective is over', async () => {
  const { places } = start([], true)
  const sentAt = performance.now()
  assert.is((await places.acquire(request(300))).type, 'refused')
  assert.ok(performance.now() - sentAt < 300)
})

test('a request that is abandoned between two tries is not asked for again', async () => {
  const { places, asked } = start([], true)
  const answer = places.acquire(request(1000))
  await sleep(30)
  places.abandon('r1#1')
  assert.is((await answer).type, 'refused')
  await sleep(150)
  assert.is(asked.length, 1)
})

// Guards against a place that stays taken at the owner after its request has left in a later try.
test('abandoning a later try tells the owner the name of that try', async () => {
  const cancelled: string[] = []
  let tries = 0
  const places: GrantClient = createGrantClient({
    now: () => performance.now(),
    zone: 'a',
    engines: () => [{ server, owner: 'n1', commandable: true, scopes: new Set(), backlogMs: 0, running: 0, loadWaitMs: 0, ageMs: 0 }],
    server: () => server,
    startingUp: () => true,
    newestVersion: () => undefined,
    async send (owner, message) {
      if (message.kind === 'cancel') cancelled.push(message.id)
      if (message.kind === 'acquire' && ++tries === 1) setTimeout(() => places.replyReceived(owner, { kind: 'refused', id: message.place.id, reason: 'no-engine', retryAfterMs: 1000 }), 1)
      return true
    },
    log () {}
  })
  const answer = places.acquire(request(1000))
  await sleep(150)
  places.abandon('r1#1')
  await answer
  assert.is(tries, 2)
  assert.equal(cancelled, ['r1#1.2'])
})

test.run()
