/**
 * Compares whole sessions of one core, each event with the actions that it causes, exactly with the
 * files in `golden/`, to detect unintended changes of any decision or message.
 * `UPDATE_GOLDEN=1` rewrites the files.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import type { InstanceSnapshot, LogPage } from '@yuccawharf/clients'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { nodeCoreDefaults, type NodeCoreConfig } from './core-config'
import type { Completion, CoreAction, CoreEvent } from './core-events'
import { createNodeCore } from './node-core'
import type { CoreMessage } from './peer-messages'

const config: NodeCoreConfig = { ...nodeCoreDefaults, node: 'n1', zone: 'z1', region: 'r1', address: '10.0.0.1:7400', incarnation: 100, engineDefaults: { checksFencing: true, reportLagMs: 100 } }

const initialChange = {
  type: 'change',
  id: 'first',
  base: -1,
  writes: { 'model/base': { group: 'engines' }, 'adapter/a0': { model: 'base', versions: ['1'] }, 'class/short': { firstTokenMs: 2_000, attainment: 0.95 } },
  reads: [],
  by: 'operator'
}

const instance = (id: string, kind: 'engine' | 'node' | 'service', group: string, state: 'live' | 'leaving' = 'live') =>
  ({ id, kind, address: `${id}:1`, zone: 'z1', region: 'r1', group, state })

const list = (asOf: number, ...instances: InstanceSnapshot['instances']): CoreEvent => ({ type: 'instance-list', snapshot: { asOf, instances } })

const page = (stream: string, from: number, ...values: unknown[]): CoreEvent => {
  const records: LogPage['records'] = values.map((value, index) => ({ offset: from + index, time: 0, value }))
  return { type: 'log-page', stream, page: { first: 0, next: from + values.length, records } }
}

const completion: Completion = { requestId: 'r1', model: 'base', adapter: 'a0', version: '1', class: 'short', prompt: 'hello', maxTokens: 5, deadline: 60_000 }

const report = (takenAt: number, resident: string[] = [], running: string[] = []): CoreEvent => ({
  type: 'engine-report',
  report: {
    engine: 'e1',
    incarnation: 1,
    baseModel: 'base',
    slots: 2,
    batchSize: 4,
    resident: resident.map(handle => ({ handle, adapter: 'a0', version: '1' })),
    running: running.map(requestId => ({ requestId, handle: resident[0] ?? '', seq: 1 })),
    queued: 0,
    takenAt
  }
})

const message = (from: string, value: CoreMessage, revision = 0): CoreEvent =>
  ({ type: 'message', envelope: { from, to: 'n1', incarnation: 50, revision, message: value } })

const owner = (node: string, after: number, incarnation = 100) => ({ type: 'owner', engine: 'e1', node, incarnation, after })

type Step = [at: number, event: CoreEvent]

const nodes = [instance('n1', 'node', 'nodes'), instance('e1', 'engine', 'engines'), instance('desk-1', 'service', 'desk')]

const started: Step[] = [
  [0, { type: 'start' }],
  [1, page('config', 0, initialChange)],
  [2, page('ownership', 0)],
  [3, list(3, ...nodes)],
  [50, { type: 'tick' }],
  [51, { type: 'append-result', token: 1, result: { type: 'ok', offsets: [0] } }],
  [52, page('ownership', 0, owner('n1', -1))],
  [53, { type: 'engine-command-result', engine: 'e1', token: 1, result: { type: 'refused', reason: 'model_not_found' } }],
  [54, report(54)]
]

const order = { orderId: 'o1', group: 'desk', key: '3.0-0f8fad5b', deadline: 10_000, req: { method: 'POST', path: '/orders', headers: {}, body: new Uint8Array([1]) } }
const claim = { type: 'claim', key: order.key, attempt: 'n1/100/1', node: 'n1' }
const claimsAppend = 2

const sessions: Record<string, Step[]> = {
  'serve-a-completion': [
    ...started,
    [100, { type: 'submit', completion }],
    [1_100, { type: 'tick' }],
    [1_350, { type: 'engine-command-result', engine: 'e1', token: 2, result: { type: 'ok' } }],
    [1_400, { type: 'first-token', requestId: 'r1' }],
    [1_500, { type: 'request-ended', requestId: 'r1', outcome: 'done', tokens: 5 }]
  ],
  'refuse-invalid-and-stale-work': [
    ...started,
    [100, { type: 'submit', completion: { ...completion, requestId: 'r2', version: '9' } }],
    [110, { type: 'submit', completion: { ...completion, requestId: 'r3', class: 'none' } }],
    [200, { type: 'log-read-failed', stream: 'config' }],
    [7_000, { type: 'submit', completion: { ...completion, requestId: 'r4' } }]
  ],
  'take-over-and-free-the-slots': [
    [0, { type: 'start' }],
    [1, page('config', 0, initialChange)],
    [2, page('ownership', 0, owner('n0', -1, 50))],
    [3, list(60, ...nodes, instance('n0', 'node', 'nodes'))],
    [50, { type: 'tick' }],
    [300, list(300, ...nodes)],
    [5_350, { type: 'tick' }],
    [5_400, { type: 'tick' }],
    [5_600, { type: 'tick' }],
    [5_601, { type: 'append-result', token: 1, result: { type: 'unknown', reason: 'lost' } }],
    [5_602, page('ownership', 1, owner('n1', 0))],
    [5_603, { type: 'engine-command-result', engine: 'e1', token: 1, result: { type: 'ok' } }],
    [5_700, report(5_700, ['a0@1~0.1'], ['old'])],
    [5_710, { type: 'submit', completion }],
    [6_200, report(6_200, ['a0@1~0.1'], ['r1'])],
    [6_250, { type: 'tick' }]
  ],
  'end-a-term': [
    ...started,
    [60, report(60, ['a0@1~0.1'])],
    [100, { type: 'submit', completion }],
    [200, page('ownership', 1, owner('n2', 0, 150))],
    [201, message('n2', { type: 'term-ended-ack', engine: 'e1', term: 1, number: 1 })],
    [300, { type: 'request-ended', requestId: 'r1', outcome: 'done', tokens: 5 }],
    [1_400, { type: 'tick' }]
  ],
  'order-runs-once': [
    ...started,
    [100, { type: 'tick' }],
    [101, page('claims-3', 0)],
    [110, { type: 'order', order }],
    [111, { type: 'append-result', token: claimsAppend, result: { type: 'ok', offsets: [0] } }],
    [112, page('claims-3', 0, claim)],
    [120, { type: 'service-result', orderId: 'o1', result: { type: 'ok', response: { status: 201, headers: { 'content-type': 'text/plain' }, body: new Uint8Array([111, 107]) } } }],
    [130, { type: 'order', order: { ...order, orderId: 'o2' } }]
  ],
  'claim-lost-to-another-node': [
    ...started,
    [100, { type: 'tick' }],
    [101, page('claims-3', 0)],
    [110, { type: 'order', order }],
    [112, page('claims-3', 0, { ...claim, attempt: 'n2/50/1', node: 'n2' }, claim)],
    [150, page('claims-3', 2, { type: 'outcome', key: order.key, attempt: 'n2/50/1', status: 200, contentType: '', body: 'b2s=' })]
  ],
  'drain-alone': [
    ...started,
    [60, report(60, ['a0@1~0.1'])],
    [100, { type: 'submit', completion }],
    [150, { type: 'drain' }],
    [200, { type: 'tick' }],
    [300, { type: 'request-ended', requestId: 'r1', outcome: 'done', tokens: 5 }],
    [350, { type: 'tick' }]
  ],
  'engine-leaves': [
    ...started,
    [60, report(60, ['a0@1~0.1'])],
    [70, message('n2', { type: 'leaving', instance: 'e1', asOf: 65 })],
    [100, { type: 'submit', completion }],
    [6_200, { type: 'tick' }]
  ]
}

const toText = (action: CoreAction): string => JSON.stringify(action, (_key, value: unknown) => value instanceof Uint8Array ? Buffer.from(value).toString('base64') : value)

const run = (steps: Step[]): string => {
  const core = createNodeCore(config)
  const lines = steps.flatMap(([at, event]) => [
    `${at} ${JSON.stringify(event, (_key, value: unknown) => value instanceof Uint8Array ? Buffer.from(value).toString('base64') : value)}`,
    ...core.step(event, at).map(action => `  ${toText(action)}`)
  ])
  return `${lines.join('\n')}\n`
}

for (const [name, steps] of Object.entries(sessions)) {
  test(`golden session ${name}`, () => {
    const file = new URL(`./golden/${name}.txt`, import.meta.url)
    const actual = run(steps)
    if (process.env.UPDATE_GOLDEN === '1') {
      writeFileSync(file, actual)
    }
    assert.fixture(actual, readFileSync(file, 'utf8'))
  })
}

test('equal events give equal actions', () => {
  for (const steps of Object.values(sessions)) {
    assert.is(run(steps), run(steps))
  }
})

test.run()
