/** A node in a process of its own, beside a sound server and one whose responses never end. */
import { createServer, type Server, type Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Test } from 'uvu'
import * as assert from 'uvu/assert'
import { startBackend, type FakeBackend } from './fake-platform'
import { forkNode, type ForkedNode } from './forked-node'
import { sendTestRequest, untilServed, type TestOutcome } from './test-nodes'

/** Memory of the smallest instances, in bytes. */
const memoryBytes = 350 * 1024 * 1024
const requestCount = 150
/** Endless responses that must be open at once, at least. */
const leastEndless = 20
/** Time after which a node has read a new entry, in ms. */
const entryReadMs = 1500

let node: ForkedNode
let sound: FakeBackend
let endless: Server
let sockets: Set<Socket>
let sent = 0
/** Resolves when enough connections to the endless server are open; both servers answer then, so that neither counts as the less busy or the failing one before. */
let enoughOpen: Promise<void>
let connectionOpened: () => void

function awaitConnections (): void {
  enoughOpen = new Promise(resolve => {
    connectionOpened = () => { if (sockets.size >= leastEndless) resolve() }
  })
}

async function send (path: string): Promise<TestOutcome> {
  return await sendTestRequest(node.front, path, `r${++sent}`)
}

async function startEndless (head: string, repeated: string): Promise<void> {
  awaitConnections()
  endless = createServer(socket => {
    sockets.add(socket)
    connectionOpened()
    socket.on('error', () => {})
    socket.once('data', async bytes => {
      await enoughOpen
      const id = /x-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? ''
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n${head}\r\n`)
      const fill = (): void => {
        if (socket.destroyed) return
        if (socket.write(repeated)) setImmediate(fill)
        else socket.once('drain', fill)
      }
      fill()
    })
  })
  await new Promise<void>(resolve => endless.listen(0, '127.0.0.1', resolve))
  const { port } = endless.address() as { port: number }
  node.command({ type: 'server', id: 's2', record: { type: 'server', server: { ...sound.server, id: 's2', address: `127.0.0.1:${port}` }, sequence: 1 } })
  await sleep(entryReadMs)
}

/**
 * Sends many requests, and checks that each has a response, that the sound server still serves, and the peak of memory.
 *
 * @param head - header lines of the endless responses
 * @param repeated - what follows the head, again and again
 */
export async function checkMemory (head: string, repeated: string): Promise<void> {
  await startEndless(head, repeated)
  const sendMany = async (path: string): Promise<TestOutcome[]> => await Promise.all(Array.from({ length: requestCount / 2 }, async () => await send(path)))
  // A read is given up at a slow server, which then counts as failing.
  const orders = sendMany('/order/x')
  await Promise.race([enoughOpen, orders])
  const outcomes = [...await sendMany('/read/x'), ...await orders]
  assert.equal(outcomes.filter(({ status }) => status === 0), [], 'each request has a response')
  assert.ok(sockets.size >= leastEndless, `${sockets.size} connections to the server`)
  assert.ok(outcomes.filter(({ status }) => status === 200).length > requestCount / 4, 'the sound server still serves')
  const memory = node.replied('memory')
  node.command({ type: 'memory' })
  const { peakBytes } = await memory
  assert.ok(peakBytes < memoryBytes, `the node had ${Math.round(peakBytes / 2 ** 20)} MB`)
}

/** Starts a process and the sound server before each test. */
export function useEndlessServer (test: Test): void {
  test.before.each(async () => {
    sockets = new Set()
    enoughOpen = Promise.resolve()
    node = await forkNode(['--max-old-space-size=160', '--max-semi-space-size=4'])
    sound = await startBackend('s1', 'desk', async (req, res) => {
      await enoughOpen
      setTimeout(() => res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's' }).end('ok'), 20)
    }, { slots: 500 })
    node.command({ type: 'server', id: 's1', record: { type: 'server', server: sound.server, sequence: 1 } })
    await untilServed({ fronts: [node.front] }, () => send('/order/x'))
  })
  test.after.each(async () => {
    for (const socket of sockets) socket.destroy()
    endless.close()
    sound.close()
    // Of a node that has ended, the requests without a response tell.
    await node.stop().catch(() => {})
  })
}
