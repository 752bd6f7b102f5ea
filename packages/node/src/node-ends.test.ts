/** Events that must not end a node before its time, or leave it running after it. */
import { createServer, type Server } from 'node:http'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runNode } from './create-node'
import { listen } from './listening'
import type { Logger } from './observability'
import { loadSettings } from './settings'

const test = suite('ends of a node')

/** Longest time until a node has ended, in ms. */
const endMs = 15_000
const silent = { error () {}, warn () {}, info () {}, debug () {} } as unknown as Logger

async function serve (): Promise<{ server: Server, port: number }> {
  const server = createServer()
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { server, port: (server.address() as AddressInfo).port }
}

async function freePort (): Promise<number> {
  const { server, port } = await serve()
  server.close()
  await once(server, 'close')
  return port
}

// Guards against a node that ends because the system could not accept two connections.
test('connections that could not be accepted are reported, each of them', async () => {
  const warnings: string[] = []
  const server = createServer()
  await listen(server, `127.0.0.1:${await freePort()}`, { warn: (text: string) => { warnings.push(text) } } as unknown as Logger)
  for (const code of ['EMFILE', 'ENOBUFS']) server.emit('error', new Error(`accept ${code}`))
  server.close()
  assert.equal(warnings.map(text => text.split(': ').pop()), ['accept EMFILE', 'accept ENOBUFS'])
})

// Guards against a signal during the start that ends the process without a shutdown.
test('a signal that arrives while the node starts ends it', async () => {
  const instances = await serve()
  const folder = mkdtempSync(join(tmpdir(), 'node-ends-'))
  const file = join(folder, 'node.toml')
  writeFileSync(file, `[node]
id = "n1"
zone = "a"
region = "r"
address = "127.0.0.1:${await freePort()}"
[platform]
log = "http://127.0.0.1:1"
instances = "http://127.0.0.1:${instances.port}"
weightStore = "http://127.0.0.1:1"
[limits]
drainMs = 200
`)
  const ended = runNode(loadSettings(file).unwrap(), { logger: silent, addressKeepMs: 50 }).then(() => 'ended')
  const [, res] = await once(instances.server, 'request')
  process.emit('SIGTERM')
  res.writeHead(503).end()
  const outcome = await Promise.race([ended, sleep(endMs, 'running', { ref: false })])
  // Ends a node that has missed the first one, so that the test ends too.
  process.emit('SIGTERM')
  await ended
  instances.server.closeAllConnections()
  instances.server.close()
  rmSync(folder, { recursive: true })
  assert.is(outcome, 'ended')
})

test.run()
