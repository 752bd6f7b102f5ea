/** An engine that refuses a request, and writes the refusal once more on the connection when the request is sent again. */
import { createServer, type AddressInfo, type Server } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendTestRequest, startTestNodes, testConfig, untilServed, type TestNodes } from './testing'

const test = suite('repeated refusals')

let nodes: TestNodes
let server: Server
/** Number of times that each request was refused and run. */
let refused: Map<string, number>
let ran: Map<string, number>
/** Whether the refusal is written again before the response to the request that follows it. */
let repeats: boolean

const count = (counts: Map<string, number>, id: string): void => { counts.set(id, (counts.get(id) ?? 0) + 1) }
const refusal = (id: string): string => `HTTP/1.1 421 Misdirected\r\nx-id: ${id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`
const events = (id: string): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\ncontent-type: text/event-stream\r\ncontent-length: 15\r\n\r\nid: 1\ndata: a\n\n`

async function startEngine (): Promise<void> {
  server = createServer(socket => {
    let text = ''
    let lastRefusal: string | undefined
    socket.on('error', () => {})
    socket.on('data', chunk => {
      text += chunk.toString('latin1')
      for (let end = text.indexOf('\r\n\r\n'); end >= 0; end = text.indexOf('\r\n\r\n')) {
        const id = /^x-id: (\S+)/im.exec(text.slice(0, end))?.[1] ?? ''
        text = text.slice(end + 4)
        if (!refused.has(id)) {
          count(refused, id)
          lastRefusal = refusal(id)
          socket.write(lastRefusal)
          continue
        }
        count(ran, id)
        if (repeats && lastRefusal !== undefined) socket.write(lastRefusal)
        setTimeout(() => socket.write(events(id)), 20)
      }
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  nodes.platform.servers.append('e1', { type: 'server', sequence: 1, server: { id: 'e1', bornAt: 1, service: 'llm', address: `127.0.0.1:${port}`, zone: 'a', state: 'ready', slots: 8, models: [{ name: 'base', adapters: [] }] } })
}

test.before.each(async () => {
  refused = new Map()
  ran = new Map()
  nodes = await startTestNodes(['a'])
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  await startEngine()
  repeats = false
  let started = 0
  await untilServed(nodes, front => sendTestRequest(front, '/draft/x', `start-${++started}`, { 'x-parts': `start-${started}` }))
})
test.after.each(async () => {
  await nodes.stop()
  server.close()
})

// Guards against a request that is reported as not run, or sent again, although the engine runs it.
test('a refusal that is written once more does not count as the response to the request that is sent again', async () => {
  repeats = true
  const outcomes = await Promise.all(Array.from({ length: 10 }, async (_, index) => {
    await sleep(40 * index)
    return await sendTestRequest(nodes.fronts[0]!, '/draft/x', `r${index}`, { 'x-parts': `r${index}` })
  }))
  for (const { id, status } of outcomes) {
    assert.ok((ran.get(id) ?? 0) <= 1, `${id} ran ${ran.get(id)} times`)
    assert.ok(status !== 503 || !ran.has(id), `${id} was reported as not run and has run`)
  }
  assert.is(outcomes.filter(({ status, complete }) => status === 200 && complete).length, outcomes.length)
})

test.run()
