import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createDecisionLog } from './decision-log'
import { createGatewayMetrics } from './gateway-metrics'
import { createServerRegistry } from './server-registry'
import type { StatingResponse } from './server-statements'
import { createStatementRecorder, type StatementRecorder } from './statement-recorder'

const test = suite('statement recorder')

const server: BackendServer = { id: 's1', bornAt: 1, service: 'desk', address: 's1:1', zone: 'a', state: 'ready', slots: 4, models: [] }

let recorder: StatementRecorder
let messages: unknown[]
let relayed: unknown[]
let events: string[]

test.before.each(() => {
  messages = []
  relayed = []
  events = []
  const registry = createServerRegistry()
  registry.apply([{ key: 's1', offset: 0, value: { type: 'server', server, sequence: 1 } }], 0)
  recorder = createStatementRecorder({
    now: () => 1000,
    log: createDecisionLog('n1', { write: line => { events.push((JSON.parse(line) as { event: string }).event) }, flush: async () => {}, dropped: () => 0 }),
    metrics: createGatewayMetrics(),
    notifyPeers: (kind, payload) => { messages.push([kind, payload]) },
    notifyRelay: (node, wait) => { relayed.push([node, wait]) },
    notifyPacer () {},
    changed () {},
    leave: registry.leave
  })
})

function respond (status: number, statements: Partial<StatingResponse['statements']>): void {
  recorder.record(server, 'r1', { status, identified: true, sentAt: 0, statements: { unusable: [], ...statements } })
}

// Guards against statements that are believed although another server, which has the address now, made them.
test('a 421 states nothing about the server that the request was sent to', () => {
  respond(421, { requestsPerSecond: 2, leaving: true })
  assert.is(recorder.limit(server), undefined)
  assert.equal(messages, [])
})

// Guards against a message to all nodes for each response of a server that is leaving.
test('each statement is shared once, and what another node shares is not shared again', () => {
  respond(200, { requestsPerSecond: 2, leaving: true })
  respond(200, { requestsPerSecond: 2, leaving: true })
  assert.equal(messages, [['stated-limit', { id: 's1', bornAt: 1, requestsPerSecond: 2 }], ['stated-leaving', { id: 's1', bornAt: 1 }]])
  recorder.receive('n2', 'stated-leaving', { id: 's1', bornAt: 1 })
  recorder.receive('n2', 'stated-limit', { id: 's1', bornAt: 1, requestsPerSecond: 3 })
  assert.is(messages.length, 2)
  assert.is(recorder.limit(server), 3)
})

// Guards against a node that goes on to send requests to a server that has answered one it relayed.
test('a node that relays is told for how long the server wants no requests from it', () => {
  recorder.record(server, 'r1', { status: 503, identified: true, sentAt: 0, statements: { unusable: [], waitMs: 2000 }, through: 'n2' })
  assert.equal(relayed, [['n2', { id: 's1', bornAt: 1, waitMs: 2000 }]])
  const relay = createStatementRecorder({ now: () => 1000, log: createDecisionLog('n2', { write () {}, flush: async () => {}, dropped: () => 0 }), metrics: createGatewayMetrics(), notifyPeers () {}, notifyRelay () {}, notifyPacer () {}, changed () {}, leave: () => [] })
  relay.receive('n1', 'stated-wait', { id: 's1', bornAt: 1, waitMs: 2000 })
  assert.is(relay.waitMs(server), 2000)
  for (const payload of [null, 'x', { id: 's1' }, { id: 's1', bornAt: 1 }, { id: 's1', bornAt: 1, waitMs: -1 }]) relay.receive('n1', 'stated-wait', payload)
  assert.is(relay.waitMs(server), 2000)
})

// Guards against a malformed value or message that ends the process or passes without a trace.
test('unusable values and messages are logged and have no effect', () => {
  respond(200, { unusable: ['limit: much'] })
  for (const payload of [null, 'x', { id: 's1' }, { id: 's1', bornAt: 1, requestsPerSecond: -1 }, { id: 's1', bornAt: 1, requestsPerSecond: 'x' }]) recorder.receive('n2', 'stated-limit', payload)
  assert.equal(events, Array(6).fill('server-statement-unusable'))
  assert.is(recorder.limit(server), undefined)
})

test.run()
