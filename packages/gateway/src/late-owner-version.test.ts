/** An owner of an engine that hears late of a version of an adapter, as after a freeze, and grants requests to a node that has heard of it. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('late owner')

const versionMs = 2500

let nodes: TestNodes
let backend: FakeBackend
/** Nodes that the store does not answer when they read the operator's records. */
let held: Set<string>
/** Version of the adapter at the engine. */
let loaded: number
let began: { at: number, version: number }[]
let sent: number

const request = (front: number): ReturnType<typeof sendTestRequest> => sendTestRequest(front, '/draft/x', `r${++sent}`, { 'x-adapter': 'a1' })

/** @returns the name of the node that owns the engine */
async function currentOwner (): Promise<string> {
  const page = await nodes.platform.fleet.newest()
  const record = page.unwrap().records.findLast(({ key }) => key === 'owner/e1')
  return (record?.value as { node: string }).node
}

test.before.each(async () => {
  held = new Set()
  loaded = 1
  began = []
  sent = 0
  nodes = await startTestNodes(['a', 'a'], { versionMs }, (platform, index) => ({
    operator: {
      ...platform.operator,
      async read (from, waitMs, signal) {
        const result = await platform.operator.read(from, waitMs, signal)
        while (held.has(`node-${index + 1}`)) await sleep(20)
        return result
      }
    },
    engines: {
      command: async () => 'conflict' as const,
      report: async () => ({ commandCount: 0, models: [{ name: 'base', adapters: [{ name: 'a1', version: loaded }] }], loading: [], busy: false, queued: 0, active: 0 })
    }
  }))
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  backend = await startBackend('e1', 'llm', (req, res) => {
    const id = req.headers['x-id'] ?? ''
    const expected = req.headers['x-version']
    if (expected !== undefined && expected !== String(loaded)) return res.writeHead(421, { 'x-id': id, 'x-not-run': '1' }).end()
    began.push({ at: performance.now(), version: loaded })
    res.writeHead(200, { 'x-id': id, 'x-seal': 's', 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n')
  }, { models: [{ name: 'base', adapters: [{ name: 'a1', version: 1 }] }] })
  nodes.platform.servers.append('e1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, request)
})
test.after.each(async () => {
  held.clear()
  backend.close()
  await nodes.stop()
})

// Guards against requests that a node in touch sends on an older version, because the owner of the engine was stopped and has not read the new one yet.
test('a node that knows a new version sends no request on an older one after its time, whatever the owner grants', async () => {
  const owner = await currentOwner()
  held.add(owner)
  nodes.platform.operator.append('version/base.a1', { type: 'adapter-version', model: 'base', adapter: 'a1', version: 2 })
  const announcedAt = performance.now()
  const other = nodes.fronts[nodes.settings.findIndex(({ name }) => name !== owner)]!
  const before = await sendEvery(50, 500, () => request(other))
  assert.ok(before.every(({ status }) => status === 200), 'the older version may still be used')
  await sleep(announcedAt + versionMs - performance.now())
  const after = await sendEvery(50, 1000, () => request(other))
  const late = began.filter(({ at, version }) => version < 2 && at > announcedAt + versionMs)
  assert.is(late.length, 0, `${late.length} of ${after.length} requests began on version 1`)
  assert.ok(after.every(({ status }) => status === 503), 'they are refused as not run')
  loaded = 2
  await sleep(500)
  const served = await sendEvery(50, 300, () => request(other))
  assert.ok(served.every(({ status }) => status === 200), 'once the engine has the version they are served')
})

test.run()
