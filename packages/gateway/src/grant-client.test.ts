import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createGrantClient, type GrantMessage, type GrantRequest, type GrantClient } from './grant-client'
import { isGrantMessage } from './grant-message'

const test = suite('grant client')

const notSuspended = { endedAt: () => -Infinity }

const server = { id: 'e1', bornAt: 1, service: 'llm', address: 'e1:1', zone: 'a', state: 'ready' as const, slots: 4, models: [] }

function request (objectiveInMs: number): GrantRequest {
  const now = performance.now()
  return { grantId: 'r1#1', requestId: 'r1', service: 'llm', demand: { model: 'base', adapter: 'a1', promptTokens: 10, outputTokens: 5, parts: [] }, priority: 1, objectiveAt: now + objectiveInMs, startBy: now + 4000, deadlineAt: now + 4000, excluded: [] }
}

/** @param replies - the owner's replies to the requests, in order */
function start (replies: ('granted' | 'refused')[], startingUp: boolean): { client: GrantClient, requestedIds: string[] } {
  const requestedIds: string[] = []
  const client: GrantClient = createGrantClient({
    now: () => performance.now(),
    suspensions: notSuspended,
    zone: 'a',
    engines: () => [{ server, owner: 'n1', commandable: true, scopes: new Set(), backlogMs: 0, running: 0, loadWaitMs: 0, ageMs: 0 }],
    server: () => server,
    startingUp: () => startingUp,
    newestVersion: () => undefined,
    async send (owner: string, message: GrantMessage) {
      if (message.kind !== 'acquire') return true
      const { id } = message.place
      requestedIds.push(id)
      const kind = replies[requestedIds.length - 1] ?? 'refused'
      setTimeout(() => client.receiveReply(owner, kind === 'granted' ? { kind, id, engine: 'e1' } : { kind, id, reason: 'no-engine', retryAfterMs: 1000 }), 1)
      return true
    },
    log () {}
  })
  return { client, requestedIds }
}

// Guards against a refusal with a retry delay of a second while owners that have just started claim their engines.
test('asks again while owners that have just started own nothing yet', async () => {
  const { client, requestedIds } = start(['refused', 'refused', 'granted'], true)
  const result = await client.acquire(request(1000))
  assert.is(result.type, 'granted')
  assert.is(new Set(requestedIds).size, 3, 'an owner repeats its reply to an id that it has seen')
})

test('refuses at once when there is no engine and no node has just started', async () => {
  const { client, requestedIds } = start([], false)
  const sentAt = performance.now()
  assert.is((await client.acquire(request(1000))).type, 'refused')
  assert.is(requestedIds.length, 1)
  assert.ok(performance.now() - sentAt < 70)
})

// Guards against delaying a request that can no longer be on time.
test('stops asking before the time of the objective', async () => {
  const { client } = start([], true)
  const sentAt = performance.now()
  assert.is((await client.acquire(request(300))).type, 'refused')
  assert.ok(performance.now() - sentAt < 300)
})

test('does not ask again for a request that was abandoned between two rounds', async () => {
  const { client, requestedIds } = start([], true)
  const result = client.acquire(request(1000))
  await sleep(30)
  client.abandon('r1#1')
  assert.is((await result).type, 'refused')
  await sleep(150)
  assert.is(requestedIds.length, 1)
})

// Guards against a grant that stays in use at the owner after its request was abandoned in a later round.
test('abandoning a request in a later round cancels the id of that round', async () => {
  const cancelled: string[] = []
  let tries = 0
  const client: GrantClient = createGrantClient({
    now: () => performance.now(),
    suspensions: notSuspended,
    zone: 'a',
    engines: () => [{ server, owner: 'n1', commandable: true, scopes: new Set(), backlogMs: 0, running: 0, loadWaitMs: 0, ageMs: 0 }],
    server: () => server,
    startingUp: () => true,
    newestVersion: () => undefined,
    async send (owner, message) {
      if (message.kind === 'cancel') cancelled.push(message.id)
      if (message.kind === 'acquire' && ++tries === 1) setTimeout(() => client.receiveReply(owner, { kind: 'refused', id: message.place.id, reason: 'no-engine', retryAfterMs: 1000 }), 1)
      return true
    },
    log () {}
  })
  const result = client.acquire(request(1000))
  await sleep(150)
  client.abandon('r1#1')
  await result
  assert.is(tries, 2)
  assert.equal(cancelled, ['r1#1.2'])
})

/** @param pause - called before the reply to the first request is handled */
async function acquireAcross (pause: (env: { now: number, suspensionEndedAt: number }) => void): Promise<{ type: string, grantId?: string, returned: string[] }> {
  const env = { now: 1000, suspensionEndedAt: -Infinity }
  const returned: string[] = []
  let tries = 0
  const client: GrantClient = createGrantClient({
    now: () => env.now,
    suspensions: { endedAt: () => env.suspensionEndedAt },
    zone: 'a',
    engines: () => [{ server, owner: 'n1', commandable: true, scopes: new Set(), backlogMs: 0, running: 0, loadWaitMs: 0, ageMs: 0 }],
    server: () => server,
    startingUp: () => false,
    newestVersion: () => undefined,
    async send (owner, message) {
      if (message.kind === 'ended') returned.push(message.id)
      if (message.kind !== 'acquire') return true
      const { id } = message.place
      setImmediate(() => {
        if (++tries === 1) pause(env)
        client.receiveReply(owner, { kind: 'granted', id, engine: 'e1' })
      })
      return true
    },
    log () {}
  })
  const result = await client.acquire({ ...request(0), objectiveAt: 2000, startBy: 3000, deadlineAt: 5000 })
  return { type: result.type, ...(result.type === 'granted' ? { grantId: result.grant.grantId } : {}), returned }
}

// Guards against a process that was suspended and uses a grant that its owner has ended meanwhile.
test('a grant that arrives across a suspension is returned, and the owner is asked again', async () => {
  assert.equal(await acquireAcross(() => {}), { type: 'granted', grantId: 'r1#1', returned: [] })
  assert.equal(await acquireAcross(env => { env.suspensionEndedAt = env.now += 1 }), { type: 'granted', grantId: 'r1#1.2', returned: ['r1#1'] })
})

// Guards against a process that was stopped and handles a grant before the timer of the request's deadline.
test('a grant that is handled after the deadline is returned', async () => {
  assert.equal(await acquireAcross(env => { env.now = 5001 }), { type: 'refused', returned: ['r1#1'] })
})

// Guards against an owner of an earlier build that counts no failure, and against an outcome that is lost on the way.
test('an unusable response is a failure to owners that do not know it', () => {
  const sent: GrantMessage[] = []
  const env = { now: () => 0, suspensions: notSuspended, zone: 'a', engines: () => [], server: () => server, startingUp: () => false, newestVersion: () => undefined, log () {} }
  const client = createGrantClient({ ...env, async send (_owner, message) { sent.push(message); return true } })
  client.ended({ grantId: 'r1#1', server, owner: 'n1' }, 'unusable')
  client.ended({ grantId: 'r2#1', server, owner: 'n1' }, 'failed')
  assert.equal(sent, [{ kind: 'ended', id: 'r1#1', outcome: 'failed', unusable: true }, { kind: 'ended', id: 'r2#1', outcome: 'failed' }])
  assert.ok(sent.every(isGrantMessage))
  assert.not.ok(isGrantMessage({ ...sent[0], unusable: 'yes' }))
})

test.run()
