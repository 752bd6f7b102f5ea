/** A node whose event loop does not run for a while, and clients that give up meanwhile. */
import { Agent, request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { forkNode, sendTestRequest, startBackend, untilServed, type FakeBackend, type ForkedNode } from './testing'

const test = suite('starved node')

/** Time for which a client waits, in ms. */
const deadlineMs = 300
/** Time after which a request of a client that has left must no longer reach a server, in ms. */
const toleranceMs = 500

let node: ForkedNode
let backends: FakeBackend[]
let arrivals: Map<string, number>
let sent = 0

async function startServer (id: string, service: string): Promise<void> {
  const backend = await startBackend(id, service, (req, res) => {
    arrivals.set(String(req.headers['x-id']), performance.now())
    const headers = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }
    if (service === 'desk') res.writeHead(200, headers).end('ok')
    else res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n')
  }, service === 'llm' ? { models: [{ name: 'base', adapters: [] }] } : {})
  backends.push(backend)
  node.command({ type: 'server', id, record: { type: 'server', server: backend.server, sequence: 1 } })
}

const headersOf = (path: string, id: string): Record<string, string> => ({ host: 'a.example', 'x-id': id, ...(path.startsWith('/draft/') ? { 'x-parts': id } : {}) })

type Departure = { id: string, leftAt?: number, status?: number }

/** A client that closes its connection if it has no whole response at its deadline. */
function sendAndLeave (path: string, agent: Agent | false, body: string): Promise<Departure> {
  const id = `r${++sent}`
  return new Promise(resolve => {
    const req = request({ host: '127.0.0.1', port: node.front, path, method: 'POST', agent, headers: { ...headersOf(path, id), 'content-length': String(body.length) } }, res => {
      res.resume()
      res.on('end', () => {
        clearTimeout(timer)
        resolve({ id, status: res.statusCode ?? 0 })
      })
    })
    const timer = setTimeout(() => {
      req.destroy()
      resolve({ id, leftAt: performance.now() })
    }, deadlineMs)
    req.on('error', () => {})
    req.end(body)
  })
}

async function untilNodeServes (path: string): Promise<void> {
  await untilServed({ fronts: [node.front] }, port => {
    const id = `start-${++sent}`
    return sendTestRequest(port, path, id, headersOf(path, id))
  })
}

test.before.each(async () => {
  backends = []
  arrivals = new Map()
  node = await forkNode()
})
test.after.each(async () => {
  await node.stop()
  for (const backend of backends) backend.close()
})

for (const [path, service] of [['/order/x', 'desk'], ['/draft/x', 'llm']] as const) {
  // Guards against work for clients that have left while the node could not run.
  test(`requests whose clients have left do not reach a server: ${service}`, async () => {
    await startServer('s1', service)
    await untilNodeServes(path)
    const agent = new Agent({ keepAlive: true, maxSockets: 10 })
    // Opens connections that are used again.
    await Promise.all(Array.from({ length: 10 }, async () => await sendAndLeave(path, agent, '')))
    for (const blockMs of [500, 1000, 2000, 4000]) {
      node.command({ type: 'block', ms: blockMs })
      await sleep(20)
      const departures: Promise<Departure>[] = []
      for (let index = 0; index < 20; index++) departures.push(sendAndLeave(path, index % 2 === 0 ? agent : false, index % 4 < 2 ? '' : 'body'))
      const outcomes = await Promise.all(departures)
      await sleep(blockMs - deadlineMs + 600)
      const left = outcomes.filter(({ leftAt }) => leftAt !== undefined)
      const late = left.filter(({ id, leftAt }) => (arrivals.get(id) ?? 0) > leftAt! + toleranceMs)
      assert.equal(late.map(({ id, leftAt }) => `${id} after ${Math.round(arrivals.get(id)! - leftAt!)} ms`), [], `blocked for ${blockMs} ms`)
      await untilNodeServes(path)
    }
    agent.destroy()
  })
}

// Guards against refusing requests of clients that still wait.
test('requests that are read late are served if their clients wait', async () => {
  await startServer('s1', 'desk')
  await untilNodeServes('/order/x')
  node.command({ type: 'block', ms: 1000 })
  await sleep(20)
  const outcomes = await Promise.all(Array.from({ length: 20 }, async () => {
    const id = `r${++sent}`
    return await sendTestRequest(node.front, '/order/x', id, headersOf('/order/x', id))
  }))
  assert.equal(outcomes.filter(({ status }) => status !== 200), [])
})

test.run()
