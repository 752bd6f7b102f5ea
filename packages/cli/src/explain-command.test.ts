import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { run } from './run'

const test = suite('explain command')

const key = 'secret-key-1'
const explanation = { node: 'n1', zone: 'a', configVersion: 7, request: { id: 'r1', host: 'shop.example', path: '/x' }, candidates: [{ id: 's1', zone: 'a', ruledOut: 'ejected', figures: { waitMs: 12 } }], refusal: { status: 503, outcome: 'not-run', reason: 'no server', retryAfter: '0.5' }, notes: ['a note'] }
let asked: { path: string | undefined, body: string }[] = []
let reply = { status: 200, body: JSON.stringify(explanation) }
const server = createServer((req, res) => {
  let body = ''
  req.on('data', chunk => { body += String(chunk) })
  req.on('end', () => {
    asked.push({ path: req.url, body })
    res.writeHead(reply.status).end(reply.body)
  })
})

async function command (...args: string[]): Promise<{ code: number, out: string, err: string }> {
  const lines = { out: [] as string[], err: [] as string[] }
  const code = await run(['explain', ...args], { out: line => lines.out.push(line), err: line => lines.err.push(line) })
  return { code, out: lines.out.join('\n'), err: lines.err.join('\n') }
}

const node = (): string[] => ['--node', `127.0.0.1:${(server.address() as AddressInfo).port}`]

test.before(async () => { await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve)) })
test.before.each(() => { asked = [] })
test.after(() => {
  server.close()
  server.closeAllConnections()
})

test('prints the explanation as text and as JSON', async () => {
  const text = await command('http://shop.example/x?y=1', '--header', `Authorization: Bearer ${key}`, '--header', 'X-Id: r1', ...node())
  assert.is(text.code, 0, text.err)
  for (const part of ['node n1 in a', 's1', 'ejected', 'waitMs 12', 'refused: 503, not-run, no server, Retry-After 0.5', 'note: a note']) assert.ok(text.out.includes(part), `${part} in ${text.out}`)
  assert.is(asked[0]!.path, '/explain')
  assert.equal(JSON.parse(asked[0]!.body), { host: 'shop.example', path: '/x?y=1', method: 'GET', headers: ['Authorization', `Bearer ${key}`, 'X-Id', 'r1'] })
  const json = await command('http://shop.example/x', '--json', ...node())
  assert.equal(JSON.parse(json.out), explanation)
})

// Guards against a key in an error, and against bad input that reaches a node.
test('reports bad input without its values', async () => {
  for (const args of [['shop.example'], [`ftp://${key}/`], ['http://shop.example/', '--header', `Bearer ${key}`], ['http://shop.example/', '--header', `X-Key: ${key}\r\nX: 1`]]) {
    const { code, out, err } = await command(...args, ...node())
    assert.is(code, 2, err)
    assert.not.ok((out + err).includes(key), err)
  }
  assert.is(asked.length, 0)
})

test('reports a node that gives no explanation', async () => {
  reply = { status: 400, body: '{"errors":["path must be a text"]}' }
  const refused = await command('http://shop.example/', ...node())
  assert.is(refused.code, 1)
  assert.match(refused.err, /answered 400: path must be a text/)
  reply = { status: 200, body: '{"node":1}' }
  assert.is((await command('http://shop.example/', ...node())).code, 1)
  assert.is((await command('http://shop.example/', '--node', '127.0.0.1:1')).code, 1)
})

test.run()
