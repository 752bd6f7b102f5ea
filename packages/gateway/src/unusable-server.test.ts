/** Servers whose responses are all given up, beside sound ones, behind two nodes. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countServed, sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes, type TestOutcome } from './testing'

const test = suite('servers whose responses are given up')

const loadMs = 3000
const intervalMs = 5
/** Requests before the load, by which the owner of the engine gets to know it. */
const firstRequests = 12
/** Failures in succession from which a server is ejected. */
const toEject = 2
/** Time after which a faulty server responds, in ms, so that requests can gather there. */
const faultyMs = 200
/** Time of a sound plain server and engine, in ms. */
const soundMs = { desk: 100, llm: 20 }
/** Requests at once that a single engine has no room for. */
const burst = 30
/** A request for each ejection that ends meanwhile, at each node, with room for a slow machine. */
const maxTried = 8

/** `head` starts a response, and `body` writes what makes it useless. */
type Fault = { service: 'desk' | 'llm', headers: Record<string, string>, write (res: ServerResponse): void }

const faults: Record<string, Fault> = {
  'a body that states more than the limit': { service: 'desk', headers: { 'content-length': String(1e12) }, write: res => { res.write('x') } },
  'a body that exceeds the limit': { service: 'desk', headers: {}, write: res => { res.write(Buffer.alloc(17 * 1024 * 1024, 'x')) } },
  'an event that exceeds the limit': { service: 'llm', headers: { 'content-type': 'text/event-stream' }, write: res => { res.write(`data: ${'x'.repeat(300 * 1024)}`) } },
  'an event that exceeds the limit after a sound one': { service: 'llm', headers: { 'content-type': 'text/event-stream' }, write: res => { res.write(`id: 1\ndata: a\n\ndata: ${'x'.repeat(300 * 1024)}`) } }
}

let nodes: TestNodes
let backends: FakeBackend[]
let fault: Fault | undefined
let sent = 0

function answer (id: string, req: IncomingMessage, res: ServerResponse): void {
  const headers = { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }
  if (id === 'faulty' && fault !== undefined) {
    const { headers: more, write } = fault
    setTimeout(() => {
      res.writeHead(200, { ...headers, ...more })
      write(res)
    }, faultyMs)
    return
  }
  if (req.url!.startsWith('/draft/')) setTimeout(() => res.writeHead(200, { ...headers, 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n'), soundMs.llm)
  else setTimeout(() => res.writeHead(200, headers).end('ok'), soundMs.desk)
}

function send (path: string): Promise<TestOutcome> {
  const id = `r${++sent}`
  const node = sent % nodes.fronts.length
  return sendTestRequest(nodes.fronts[node]!, path, id, { 'x-node': String(node), ...(path === '/draft/x' ? { 'x-parts': id } : {}) })
}

test.before.each(async () => {
  backends = []
  fault = undefined
  nodes = await startTestNodes(['a', 'a'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
})
test.after.each(async () => {
  for (const backend of backends) backend.close()
  await nodes.stop()
})

// Guards against requests that fail, time and again, beside a server that could have taken them.
for (const [name, kind] of Object.entries(faults)) {
  test(`a server that gives ${name} gets single requests until it is sound again`, async () => {
    const { service } = kind
    const path = service === 'llm' ? '/draft/x' : '/order/x'
    for (const id of ['sound', 'faulty']) {
      const backend = await startBackend(id, service, (req, res) => answer(id, req, res), { slots: 64, models: service === 'llm' ? [{ name: 'base', adapters: [] }] : [] })
      backends.push(backend)
      nodes.platform.servers.append(id, { type: 'server', server: backend.server, sequence: 1 })
    }
    const faulty = backends[1]!
    await untilServed(nodes, () => send(path))
    fault = kind
    faulty.requests.length = 0
    // Failures that end together lengthen the ejection of a plain server, and hide what follows it.
    const isKnown = (_: unknown, node: number): boolean => faulty.requests.filter(({ headers }) => headers['x-node'] === String(node)).length >= toEject
    if (service === 'desk') while (!nodes.fronts.every(isKnown)) await send(path)
    else await sendEvery(intervalMs, firstRequests * intervalMs, () => send(path))
    const before = faulty.requests.length
    const outcomes = await sendEvery(intervalMs, loadMs, () => send(path))
    const tried = faulty.requests.length - before
    assert.ok(tried <= maxTried, `${tried} of ${outcomes.length} requests reached the faulty server`)
    assert.ok(countServed(outcomes) >= outcomes.length - maxTried, `${countServed(outcomes)} of ${outcomes.length} were served`)
    const uses = (use: string): boolean => nodes.lines.some(line => line.event === 'server-use-changed' && line['server'] === 'faulty' && line['use'] === use)
    assert.ok(uses('ejected') && uses('probation') && !uses('in-use'))
    fault = undefined
    const end = performance.now() + 20_000
    while (!uses('in-use') && performance.now() < end) await Promise.all(Array.from({ length: burst }, () => send(path)))
    assert.ok(uses('in-use'), 'the server is used again')
  })
}

test.run()
