/** Plain servers that end if they have to turn away a few requests a second, behind three nodes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('brittle servers')

/** Time after which all nodes must know what a server has stated, in ms. */
const contactMs = 3000
const loadMs = 8000
const slots = 4
const workMs = 50
/** Requests that a server turns away in a second without falling over. */
const bearable = 3
const windowMs = 1000

let nodes: TestNodes
let backends: FakeBackend[]
let running: Map<string, number>
/** Times at which each server has turned a request away. */
let rejections: Map<string, number[]>
let statedAt: number | undefined
let sent: number

function answer (id: string, req: IncomingMessage, res: ServerResponse): void {
  const head = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', ...(statedAt === undefined ? {} : { 'x-brittle': String(bearable) }) }
  if (running.get(id)! >= slots) {
    rejections.get(id)!.push(performance.now())
    res.writeHead(503, { ...head, 'x-not-run': '1' }).end()
    return
  }
  running.set(id, running.get(id)! + 1)
  setTimeout(() => {
    running.set(id, running.get(id)! - 1)
    res.writeHead(200, head).end('ok')
  }, workMs)
}

const send = (): ReturnType<typeof sendTestRequest> => sendTestRequest(nodes.fronts[++sent % nodes.fronts.length]!, '/read/x', `r${sent}`)

function mostInWindow (times: readonly number[]): number {
  return Math.max(0, ...times.map(start => times.filter(at => at >= start && at < start + windowMs).length))
}

test.before.each(async () => {
  backends = []
  running = new Map()
  rejections = new Map()
  statedAt = undefined
  sent = 0
  nodes = await startTestNodes(['a', 'b', 'c'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  for (const id of ['s1', 's2']) {
    running.set(id, 0)
    rejections.set(id, [])
    const backend = await startBackend(id, 'desk', (req, res) => answer(id, req, res), { slots })
    backends.push(backend)
    nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
  }
  await untilServed(nodes, send)
})
test.after.each(async () => {
  for (const backend of backends) backend.close()
  await nodes.stop()
})

// Guards against nodes that fill the servers, each for itself, until they fall over.
test('servers turn away few requests while they say that they cannot bear more, and work at most of their capacity', async () => {
  statedAt = performance.now()
  // Twice what the servers can serve.
  const intervalMs = workMs / slots / backends.length / 2
  const outcomes = await sendEvery(intervalMs, loadMs, send)
  const from = statedAt + contactMs
  const most = [...rejections.values()].map(times => mostInWindow(times.filter(at => at >= from)))
  assert.ok(most.every(count => count <= bearable), `up to ${most.join(' and ')} requests were turned away in a second`)
  const late = outcomes.filter(({ sentAt }) => sentAt >= from)
  const capacity = backends.length * slots / workMs * (loadMs - contactMs)
  assert.ok(countServed(late) > 0.4 * capacity, `${countServed(late)} served of ${Math.round(capacity)}`)
  assert.equal([...new Set(late.map(({ status }) => status))].sort(), [200, 503])
})

test.run()
