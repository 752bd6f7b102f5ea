/** Streams that break off and continue at another engine, which answers with an error or with another number of bytes. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ClusterConfig } from './cluster-types'
import { sendTestRequest, startTestNodes, testConfig, untilServed, type TestNodes } from './testing'

const test = suite('resumed streams')

const config: ClusterConfig = { ...testConfig, routes: testConfig.routes.map(route => route.kind === 'streaming' ? { ...route, resumable: true, attempts: 3 } : route) }
const first = 'id: 1\ndata: a\n\n'
const second = 'id: 2\ndata: b\n\n'

type Answer = (id: string, socket: Socket) => void

let nodes: TestNodes
let servers: Server[]
/** Answers to the first attempt of a request and to the later ones. */
let answers: { begin: Answer, resume: Answer } | undefined
let attempts: number

const signed = (id: string, status: string, more: string, body: string): string => `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-seal: s\r\n${more}\r\n${body}`
const whole: Answer = (id, socket) => { socket.write(signed(id, '200 OK', `content-type: text/event-stream\r\ncontent-length: ${first.length}\r\n`, first)) }
const breakAfterFirst = (framing: string): Answer => (id, socket) => {
  const body = framing.includes('chunked') ? `${first.length.toString(16)}\r\n${first}\r\n` : first
  socket.write(signed(id, '200 OK', `content-type: text/event-stream\r\n${framing}`, body))
  setTimeout(() => socket.resetAndDestroy(), 30)
}

async function startEngine (id: string): Promise<void> {
  const server = createServer(socket => {
    let text = ''
    socket.on('error', () => {})
    socket.on('data', chunk => {
      text += chunk.toString('latin1')
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const requestId = /^x-id: (\S+)/im.exec(text.slice(0, end))?.[1] ?? ''
        text = text.slice(end + 4)
        if (answers === undefined) whole(requestId, socket)
        else if (attempts++ === 0) answers.begin(requestId, socket)
        else answers.resume(requestId, socket)
      }
    })
  })
  servers.push(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  nodes.platform.servers.append(id, { type: 'server', sequence: 1, server: { id, bornAt: 1, service: 'llm', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 8, models: [{ name: 'base', adapters: [] }] } })
}

/** @returns all bytes that the node sends on a connection, until 300 ms after the last one */
function exchangeBytes (version: string): Promise<{ bytes: string, closed: boolean }> {
  return new Promise(resolve => {
    const socket = connect(nodes.fronts[0]!, '127.0.0.1')
    let bytes = ''
    const finish = (closed: boolean): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve({ bytes, closed })
    }
    let timer = setTimeout(() => finish(false), 2500)
    socket.on('data', chunk => {
      bytes += chunk.toString('latin1')
      clearTimeout(timer)
      timer = setTimeout(() => finish(false), 500)
    })
    socket.on('error', () => finish(true))
    socket.on('close', () => finish(true))
    socket.write(`POST /draft/x HTTP/${version}\r\nhost: a.example\r\nx-id: r1\r\nx-parts: r1\r\ncontent-length: 0\r\n\r\n`)
  })
}

test.before.each(async () => {
  answers = undefined
  attempts = 0
  servers = []
  nodes = await startTestNodes(['a'])
  nodes.platform.operator.append('config', { type: 'config', config })
  for (const id of ['e1', 'e2', 'e3']) await startEngine(id)
  let started = 0
  await untilServed(nodes, front => sendTestRequest(front, '/draft/x', `start-${++started}`, { 'x-parts': `start-${started}` }))
})
test.after.each(async () => {
  await nodes.stop()
  for (const server of servers) server.close()
})

const framings: [name: string, header: string][] = [['in chunks', 'transfer-encoding: chunked\r\n'], ['with a length', `content-length: ${first.length + second.length}\r\n`]]
const errors: [name: string, answer: Answer][] = [
  ['an error with a text', (id, socket) => { socket.write(signed(id, '500 Error', 'content-length: 6\r\n', 'failed')) }],
  ['an error with the type of a stream', (id, socket) => { socket.write(signed(id, '500 Error', `content-type: text/event-stream\r\ncontent-length: ${second.length}\r\n`, second)) }],
  ['an error in chunks', (id, socket) => { socket.write(signed(id, '502 Error', 'transfer-encoding: chunked\r\n', '6\r\nfailed\r\n0\r\n\r\n')) }],
  ['an error without a length', (id, socket) => { socket.end(signed(id, '500 Error', '', 'failed')) }],
  ['a refusal', (id, socket) => { socket.write(signed(id, '503 Full', 'x-not-run: 1\r\ncontent-length: 4\r\n', 'full')) }],
  ['a success that is no stream', (id, socket) => { socket.write(signed(id, '200 OK', 'content-type: text/plain\r\ncontent-length: 6\r\n', 'failed')) }],
  ['a success without a signature', (id, socket) => { socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\ncontent-length: ${second.length}\r\n\r\n${second}`) }],
  ['a head that ends inside a header', (id, socket) => { socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-se`) }],
  ['bytes that are no response', (_id, socket) => { socket.end('failed\r\n\r\n') }]
]

for (const [framing, header] of framings) {
  for (const version of ['1.1', '1.0']) {
    // Guards against text of an error in the middle of a stream, and against a broken stream that looks complete.
    test(`a stream that cannot continue is broken off: ${framing}, HTTP/${version}`, async () => {
      for (const [name, resume] of errors) {
        attempts = 0
        answers = { begin: breakAfterFirst(header), resume }
        const { bytes, closed } = await exchangeBytes(version)
        const [head = '', ...rest] = bytes.split('\r\n\r\n')
        const body = rest.join('\r\n\r\n')
        assert.match(head, /^HTTP\/1\.1 200 OK/, name)
        assert.ok(closed, `${name}: the connection stays open after ${JSON.stringify(body)}`)
        const chunked = /transfer-encoding: chunked/i.test(head)
        assert.is(body, chunked ? `${first.length.toString(16)}\r\n${first}\r\n` : first, name)
        const length = /content-length: (\d+)/i.exec(head)?.[1]
        assert.ok(length === undefined || Number(length) > body.length, `${name}: framed as complete`)
      }
    })
  }
}

// Guards against a stream that keeps the length of its first engine, so that bytes are missing or belong to no response.
for (const [name, events] of [['more', second + 'id: 3\ndata: longer than announced\n\n'], ['fewer', '']] as const) {
  test(`a stream with a length that continues with ${name} bytes is whole`, async () => {
    answers = {
      begin: breakAfterFirst(framings[1]![1]),
      resume: (id, socket) => { socket.write(signed(id, '200 OK', `content-type: text/event-stream\r\ncontent-length: ${events.length}\r\n`, events)) }
    }
    const outcome = await sendTestRequest(nodes.fronts[0]!, '/draft/x', 'r1', { 'x-parts': 'r1' })
    assert.equal([outcome.status, outcome.complete, outcome.body], [200, true, first + events])
  })
}

test.run()
