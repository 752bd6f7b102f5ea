import { createSocket } from 'node:dgram'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog } from './decision-log'
import { createListening, openFailure, type Listening } from './listening'
import { createPeerLink } from './peer-link'

const test = suite('listening')

/** An address that no interface has. */
const foreignHost = '192.0.2.1'

let stopped: boolean
let events: string[]
let listening: Listening

test.before.each(() => {
  stopped = false
  events = []
  const log = createDecisionLog('n1', { write: line => { events.push((JSON.parse(line) as { event: string }).event) }, flush: async () => {}, dropped: () => 0 })
  listening = createListening({ log, stopped: () => stopped })
})

/** @returns opens after one failure for each code */
function failing (...codes: string[]): () => Promise<void> {
  return async () => {
    const code = codes.shift()
    if (code !== undefined) throw Object.assign(new Error(`listen ${code}`), { code })
  }
}

test('errors that pass are told from errors that do not', () => {
  assert.is(openFailure('EADDRINUSE'), 'in-use')
  for (const code of ['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EAGAIN', 'EADDRNOTAVAIL']) assert.is(openFailure(code), 'lacking')
  for (const code of ['EACCES', 'EINVAL', 'EAFNOSUPPORT', 'ENOTFOUND', undefined]) assert.is(openFailure(code), 'permanent')
})

test('an address is opened after errors that pass, with a line for each kind', async () => {
  await listening.other({ host: 'a', port: 1 }, failing('EMFILE', 'ENOBUFS', 'EADDRINUSE'))
  assert.equal(events, ['address-unavailable', 'address-in-use', 'address-free'])
})

test('an error that does not pass is thrown at once', async () => {
  const err = await listening.other({ host: 'a', port: 1 }, failing('EACCES')).catch((reason: NodeJS.ErrnoException) => reason)
  assert.is((err as NodeJS.ErrnoException).code, 'EACCES')
  assert.equal(events, [])
})

// Guards against a socket that cannot be bound again after the system has refused it, or a wait that a stop does not end.
test('servers and peers wait for an address that is not there yet, until the node stops', async () => {
  const reasons: string[] = []
  const server = createServer()
  const link = createPeerLink({ self: { node: 'n1', incarnation: 1 }, host: foreignHost, port: 9, now: () => performance.now(), position: () => -1, peerPosition () {}, received () {}, onError: reason => { reasons.push(reason) } })
  const opened = Promise.all([
    listening.server(server, { host: foreignHost, port: 9 }),
    listening.other({ host: foreignHost, port: 9 }, link.listen)
  ])
  await sleep(600)
  stopped = true
  await opened
  assert.equal(events, ['address-unavailable', 'address-unavailable'])
  assert.equal(reasons, [], 'a failed attempt is no failed message')
  link.close()
})

test('peers are bound after failed attempts', async () => {
  const occupant = createSocket('udp4')
  await new Promise<void>(resolve => occupant.bind(0, '127.0.0.1', resolve))
  const { port } = occupant.address()
  const link = createPeerLink({ self: { node: 'n1', incarnation: 1 }, host: '127.0.0.1', port, now: () => performance.now(), position: () => -1, peerPosition () {}, received () {}, onError () {} })
  setTimeout(() => occupant.close(), 600)
  await listening.other({ host: '127.0.0.1', port }, link.listen)
  assert.is(await link.deliver(`127.0.0.1:${port}`, { kind: 'hello', payload: 1 }), true)
  link.close()
})

test.run()
