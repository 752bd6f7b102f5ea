/** Tests the limits of accounts with whole nodes. */
import { createSocket } from 'node:dgram'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { keyDigest } from './accounts'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('quotas of whole nodes')

const limit = { rate: 2000, burst: 4000 }
const tolerance = { windowMs: 8000, overshoot: 0.1, slack: 2000 }
let nodes: TestNodes
let backend: FakeBackend
let lastId = 0

const send = (front: number, key: string, tokens: number) => sendTestRequest(front, '/read/x', `r${++lastId}`, { 'x-key': key, 'x-tokens': String(tokens) }, 'GET')

test.before(async () => {
  nodes = await startTestNodes(['a', 'b', 'c'], { quota: tolerance })
  backend = await startBackend('desk-1', 'desk', (req, res) => { res.writeHead(200, { 'x-id': req.headers['x-id'] as string, 'x-seal': '1' }).end('ok') })
  nodes.platform.servers.append('desk-1', { type: 'server', server: backend.server, sequence: 1 })
  const accounts = [
    { name: 'limited', keyDigests: [keyDigest('k1')], quota: { unit: 'tokens' as const, ratePerSecond: limit.rate, burst: limit.burst, plainTokens: 200 } },
    { name: 'free', keyDigests: [keyDigest('k2')] }
  ]
  nodes.platform.operator.append('config', { type: 'config', config: { ...testConfig, accounts } })
  await untilServed(nodes, front => send(front, 'k2', 1))
})
test.after(async () => {
  await nodes.stop()
  backend.close()
})

// Guards against a limit that each node applies for itself, and refusals that do not state when to come back.
test('a limit holds over three nodes, and refusals state a time', async () => {
  const startedAt = performance.now()
  const outcomes = await Promise.all(nodes.fronts.flatMap(front => Array.from({ length: 60 }, async (_, index) => {
    await sleep(index * 20)
    return await send(front, 'k1', 200)
  })))
  const seconds = (performance.now() - startedAt) / 1000
  const admitted = 200 * outcomes.filter(({ status }) => status === 200).length
  const refused = outcomes.filter(({ status }) => status !== 200)
  assert.ok(admitted > 0)
  assert.ok(admitted <= limit.rate * (seconds + 8) + limit.burst)
  assert.ok(admitted <= (limit.rate * 8 + limit.burst) * 1.1 + tolerance.slack, `${admitted} tokens`)
  assert.ok(refused.length > 0)
  for (const { status, retryAfter, body } of refused) {
    assert.is(status, 429)
    assert.ok(Number(retryAfter) >= 0.2, String(retryAfter))
    assert.match(body, /"outcome":"not-run"/)
  }
  assert.ok(nodes.lines.some(({ event, account, cost }) => event === 'quota-refused' && account === 'limited' && cost === 200))
  assert.ok(nodes.lines.some(({ event, account }) => event === 'ledger-taken' && account === 'limited'))
})

// Guards against requests that count although they were refused as not run.
test('what was refused as not run does not count', async () => {
  await sleep(1000 * limit.burst / limit.rate)
  const statuses: number[] = []
  // No server of the service exists.
  for (let index = 0; index < 80; index++) statuses.push((await sendTestRequest(nodes.fronts[0]!, '/draft/x', `n${index}`, { 'x-key': 'k1', 'x-tokens': '200' })).status)
  assert.equal([...new Set(statuses)], [503])
})

// Guards against a request of a limited account that costs nothing and fails, or waits for a reply that never comes.
test('requests that cost nothing are served', async () => {
  const outcomes = await Promise.all(nodes.fronts.map(front => send(front, 'k1', 0)))
  assert.equal(outcomes.map(({ status }) => status), [200, 200, 200])
})

// Guards against an account without a limit that waits for a ledger.
test('an account without a limit is served while another is above its own', async () => {
  const outcomes = await Promise.all(nodes.fronts.map(front => send(front, 'k2', 1_000_000)))
  assert.equal(outcomes.map(({ status }) => status), [200, 200, 200])
  assert.not(nodes.lines.some(({ account }) => account === 'free'))
})

// Guards against a node that ends, or a ledger that changes, by a message that no build sends.
test('malformed messages are ignored with a log line', async () => {
  const socket = createSocket('udp4')
  const port = nodes.settings[0]!.peerPorts[0]
  const payloads = [null, 7, {}, { id: 1, account: 'limited', needed: -1, tokens: 1, returned: 0 }, { id: 1, account: 'limited', needed: 1, tokens: '1', returned: 0 }, { id: 1.5, account: '', needed: 1, tokens: 1, returned: 1 }, { id: 1, tokens: -5, validMs: 300 }]
  for (const kind of ['quota-ask', 'quota-lent']) {
    // The log joins lines that are equal.
    for (const [index, payload] of payloads.entries()) socket.send(JSON.stringify([`other-${index}`, 1, 0, kind, payload, -1]), port, '127.0.0.1')
  }
  const count = (): number => nodes.lines.filter(({ event, reason }) => event === 'peer-message-failed' && /^quota-(ask|lent) of other-\d is malformed$/.test(String(reason))).length
  for (const end = performance.now() + 5000; count() < 2 * payloads.length && performance.now() < end;) await sleep(20)
  socket.close()
  assert.is(count(), 2 * payloads.length)
  assert.is((await send(nodes.fronts[0]!, 'k2', 1)).status, 200)
})

test.run()
