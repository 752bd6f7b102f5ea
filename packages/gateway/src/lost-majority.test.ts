/** Loss of half of all nodes or more, for good, while the store is there. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { setTimeout as sleep } from 'node:timers/promises'
import { countServed, sendEvery, sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('lost majority')

/** Time within which requests for adapters must be served again, in ms: 12 s and the windows in which they are counted. */
const recoveryMs = 14_000
/** Time within which the new owner must give its first command, in ms. */
const firstCommandMs = 12_000
const windowMs = 1000

let nodes: TestNodes
let backend: FakeBackend
let sent: number

async function start (count: number): Promise<void> {
  sent = 0
  nodes = await startTestNodes(Array.from({ length: count }, () => 'a'))
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  backend = await startBackend('e1', 'llm', (req, res) => {
    res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n')
  }, { models: [{ name: 'base', adapters: [] }] })
  nodes.platform.servers.append('e1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, requestAdapter)
}

/** Sends a request for an adapter that is not loaded. */
async function requestAdapter (front: number): ReturnType<typeof sendTestRequest> {
  const id = `r${++sent}`
  return await sendTestRequest(front, '/draft/x', id, { 'x-adapter': `a${sent}` })
}

const ownerIndex = (): number => {
  const claims = nodes.lines.filter(line => line.event === 'engines-claimed' && (line['engines'] as string[]).includes('e1') && typeof line['result'] === 'number')
  return nodes.settings.findIndex(({ name }) => name === claims.at(-1)!['node'])
}

/** @returns indexes of all nodes, that of the owner first */
const ownerFirst = (): number[] => [ownerIndex(), ...nodes.settings.keys()].filter((index, position, all) => all.indexOf(index) === position)

/** @returns time until 90 of 100 requests at the nodes are served, in ms; undefined if they are not within `maxMs` */
async function untilRecovered (indexes: number[], maxMs: number): Promise<number | undefined> {
  const startedAt = performance.now()
  while (performance.now() - startedAt < maxMs) {
    const outcomes = await sendEvery(100, windowMs, () => requestAdapter(nodes.fronts[indexes[sent % indexes.length]!]!))
    if (countServed(outcomes) >= 0.9 * outcomes.length) return Math.round(outcomes[0]!.sentAt - startedAt)
  }
  return undefined
}

test.after.each(async () => {
  backend.close()
  await nodes.stop()
})

/** Waits until a node takes others for dead. */
async function untilDead (observer: number, indexes: number[]): Promise<void> {
  const isDead = (index: number): boolean => nodes.lines.some(line => line.event === 'member-changed' && line['node'] === nodes.settings[observer]!.name && line['member'] === nodes.settings[index]!.name && line['state'] === 'dead')
  while (!indexes.every(isDead)) await sleep(50)
}

for (const [count, lost, order] of [[6, 3, 'the owner last'], [6, 5, 'the owner last'], [6, 5, 'all at once'], [9, 8, 'all at once']] as const) {
  // Guards against engines that nobody takes over, so that adapters that are not loaded are never loaded again.
  test(`after the loss of ${lost} of ${count} nodes, ${order}, the engines have an owner again`, async () => {
    await start(count)
    const [owner, ...others] = ownerFirst()
    const lostOthers = others.slice(0, lost - 1)
    const rest = others.slice(lost - 1)
    nodes.kill(...lostOthers)
    if (order === 'the owner last') await untilDead(rest[0]!, lostOthers)
    nodes.kill(owner!)
    const lostAt = Date.now()
    const logged = nodes.lines.length
    const afterMs = await untilRecovered(rest, recoveryMs)
    assert.ok(afterMs !== undefined, 'requests are not served')
    const command = nodes.lines.slice(logged).find(({ event }) => event === 'engine-command')
    const commandAfterMs = Date.parse(String(command?.['time'])) - lostAt
    assert.ok(commandAfterMs <= firstCommandMs, `the first command came after ${commandAfterMs} ms`)
    if (rest.length > 1) return
    nodes.kill(rest[0]!)
    await nodes.startAgain(rest[0]!)
    const restartedMs = await untilRecovered(rest, recoveryMs)
    assert.ok(restartedMs !== undefined, 'requests are not served after a restart')
  })
}

test.run()
