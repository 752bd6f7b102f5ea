import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { fairLevel } from './account-shares'
import { createServiceOrder, type OrderedRequest, type RequestWork, type ServiceOrder } from './service-order'

const test = suite('service order')
const work: RequestWork = { prefillMs: 50, runMs: 1000, slots: 64, adapterSlots: 8 }

function request (id: string, fields: Partial<OrderedRequest> = {}): OrderedRequest {
  return { id, node: 'n', service: 'llm', demand: { model: 'm', promptTokens: 10, outputTokens: 10, parts: [{ id, tokens: 10 }] }, priority: 0, objectiveAt: 1000, startBy: 6000, deadlineAt: 6000, excluded: [], scope: 'm', standing: 'usual', late: false, ...fields }
}

/** A surge in which all requests of `small` are refused or late, and most of those of `large` are granted. */
function surge (order: ServiceOrder): void {
  for (let index = 0; index < 40; index++) {
    order.granted(request(`g${index}`, { account: 'large', late: true }), work, 0)
    order.refused(request(`r${index}`, { account: index % 4 === 0 ? 'small' : 'large' }), work, 200, 0)
    if (index % 8 === 0) order.granted(request(`s${index}`, { account: 'small', late: true }), work, 0)
  }
}

// Guards against a change of the order in deployments without accounts; the expected order is that before there were accounts.
test('requests without accounts are ordered by lateness, objective and priority, whatever happened before', () => {
  const random = xoroshiro128plus(7)
  const draw = (limit: number): number => unsafeUniformIntDistribution(0, limit - 1, random)
  for (let round = 0; round < 300; round++) {
    const order = createServiceOrder()
    if (round % 2 === 0) surge(order)
    const queue = Array.from({ length: draw(60) }, (_, index) => request(`q${index}`, { priority: draw(3), objectiveAt: draw(20) * 100 }))
    const lateIds = new Set(queue.filter(() => draw(3) === 0).map(({ id }) => id))
    const rank = ({ id }: OrderedRequest): number => lateIds.has(id) ? 1 : 0
    const expected = [...queue].sort((left, right) => rank(left) - rank(right) || left.objectiveAt - right.objectiveAt || left.priority - right.priority)
    for (const req of queue) {
      order.submitted(req, 0)
      assert.is(order.refused(req, work, 345, 0), 345)
      order.granted(req, work, 0)
    }
    assert.equal(order.sort(queue, ({ id }) => lateIds.has(id), () => work, 0).map(({ id }) => id), expected.map(({ id }) => id))
    assert.not.ok(queue.some(req => order.refusesNow(req, 1e6, 0)))
    if (queue.length > 0) assert.is(order.excess(queue, queue.at(-1)!), queue.at(-1))
  }
})

// Guards against a fair level that gives away more than there is or leaves some unused.
test('the fair level shares what is not claimed equally', () => {
  assert.is(fairLevel([10, 40, 100], 90), 40)
  assert.is(fairLevel([10, 100, 100], 90), 40)
  assert.is(fairLevel([10, 20], 30), Infinity)
})

// Guards against an account that takes the place of others by sending more.
test('while there is too little room, requests of an account over its share come last and are refused at once', () => {
  const order = createServiceOrder()
  const queue = [request('l', { account: 'large', objectiveAt: 500 }), request('s', { account: 'small', objectiveAt: 900 })]
  assert.equal(order.sort(queue, () => false, () => work, 0).map(({ id }) => id), ['l', 's'])
  surge(order)
  assert.equal(order.sort(queue, () => false, () => work, 0).map(({ id }) => id), ['s', 'l'])
  assert.ok(order.refusesNow(queue[0]!, 600, 0))
  assert.not.ok(order.refusesNow(queue[1]!, 600, 0))
})

// Guards against a Retry-After at which the caller is refused again.
test('a refused request that comes back at the time that it was told is served first', () => {
  const order = createServiceOrder()
  surge(order)
  const refused = request('x', { account: 'third' })
  const retryAfterMs = order.refused(refused, work, 200, 0)
  const early = request('x', { account: 'third' })
  order.submitted(early, retryAfterMs - 100)
  assert.is(early.standing, 'usual')
  const [back, other] = [request('x', { account: 'third', objectiveAt: 1 }), request('o', { account: 'small', objectiveAt: 5000 })]
  order.submitted(back, retryAfterMs)
  assert.equal(order.sort([other, back], req => req === back, () => work, retryAfterMs).map(({ id }) => id), ['x', 'o'])
})

// Guards against a class that is refused for ever because a more urgent one was refused before it went silent.
test('what a surge has shown of a priority is forgotten after it', () => {
  const order = createServiceOrder()
  for (let index = 0; index < 40; index++) {
    order.refused(request(`u${index}`, { account: 'urgent', priority: 0 }), work, 200, 0)
    order.granted(request(`b${index}`, { account: 'batch', priority: 5, late: true }), work, 0)
  }
  const standingAt = (now: number): string => {
    const req = request('b', { account: 'batch', priority: 5, objectiveAt: now + 1000 })
    order.sort([req], () => false, () => work, now)
    return `${req.standing} ${order.refusesNow(req, 10, now)}`
  }
  assert.is(standingAt(0), 'deferred true')
  // The requests of the batch class are deferred ones, and granted.
  for (let at = 0; at < 60_000; at += 200) order.granted(request(`l${at}`, { account: 'batch', priority: 5, standing: 'deferred' }), work, at)
  assert.is(standingAt(60_000), 'usual false')
})

// Guards against an account that is deferred a minute after a surge, when nothing has been late since.
test('what a surge has shown of an account is forgotten after it', () => {
  const order = createServiceOrder()
  surge(order)
  const req = request('l', { account: 'large', objectiveAt: 61_000 })
  order.sort([req], () => false, () => work, 60_000)
  assert.is(req.standing, 'usual')
})

// Guards against a full queue in which one account's requests cost others their place.
test('when no more requests may wait, the account with the most gives way', () => {
  const queue = [request('a', { account: 'large' }), request('b', { account: 'large' }), request('c', { account: 'small' })]
  assert.is(createServiceOrder().excess(queue, queue[2]!).id, 'b')
})

test.run()
