/** Requests that are still running, or were accepted late, when the grace period of a planned stop ends. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('planned stop')

const graceMs = 4000
/** The servers answer after this time, in ms, which is longer than the grace period and the timeout of the routes. */
const workMs = 10_000

let nodes: TestNodes
let backend: FakeBackend

test.before.each(async () => {
  let slow = false
  nodes = await startTestNodes(['a'], { graceMs })
  backend = await startBackend('s1', 'desk', (req, res) => {
    const answer = (): unknown => res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok')
    if (slow) setTimeout(answer, workMs).unref()
    else answer()
  })
  nodes.platform.operator.append('config', { type: 'config', config: { ...testConfig, routes: testConfig.routes.map(route => ({ ...route, timeoutMs: workMs })) } })
  nodes.platform.servers.append('s1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, front => sendTestRequest(front, '/read/x', `start-${performance.now()}`))
  slow = true
})
test.after.each(() => backend.close())

// Guards against connections that end without a response, also of requests that must not be repeated.
test('every request that was read has a response when the process ends', async () => {
  const outcomes: TestOutcome[] = []
  const sent: string[] = []
  const send = (path: string, id: string): void => {
    sent.push(id)
    sendTestRequest(nodes.fronts[0]!, path, id).then(outcome => { outcomes.push(outcome) }).catch(err => { throw err })
  }
  const sendBoth = (name: string): void => {
    send('/order/x', `order-${name}`)
    send('/read/x', `read-${name}`)
  }
  sendBoth('before')
  await sleep(200)
  const stopped = nodes.stop()
  for (const atMs of [0, 1000, 2000, 2400]) {
    setTimeout(() => sendBoth(String(atMs)), atMs)
  }
  await stopped
  await sleep(20)
  assert.equal(sent.filter(id => !outcomes.some(outcome => outcome.id === id && outcome.status !== 0)), [])
  const ran = backend.requests.map(req => req.headers['x-id'])
  assert.equal(outcomes.filter(({ id, status }) => status === 503 && ran.includes(id)), [], 'a request that ran is not refused as not run')
})

test.run()
