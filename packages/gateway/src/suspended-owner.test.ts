/**
 * An owner whose machine was suspended and that cannot read the fleet log since. In place of a
 * suspension the wall clock moves on, while the monotonic clock does not.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { Err } from 'ts-results/result.js'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sendTestRequest, startBackend, startTestNodes, testConfig, untilServed, type FakeBackend, type TestNodes } from './testing'

const test = suite('suspended owner')

const wallClock = Date.now
let nodes: TestNodes
let backend: FakeBackend
let commandsAt: number[]
let refused: boolean
let sent: number

const requestAdapter = (front: number): ReturnType<typeof sendTestRequest> => sendTestRequest(front, '/draft/x', `r${++sent}`, { 'x-adapter': `a${sent}` })

test.before.each(async () => {
  commandsAt = []
  refused = false
  sent = 0
  nodes = await startTestNodes(['a'], {}, platform => {
    const unavailable = Err({ type: 'unavailable' as const, reason: 'turned away' })
    return {
      fleet: {
        ...platform.fleet,
        newest: async () => refused ? unavailable : await platform.fleet.newest(),
        async read (from, waitMs, signal) {
          const result = refused ? unavailable : await platform.fleet.read(from, waitMs, signal)
          return refused ? unavailable : result
        }
      },
      engines: {
        ...platform.engines,
        async command (server, command) {
          commandsAt.push(performance.now())
          return await platform.engines.command(server, command)
        }
      }
    }
  })
  nodes.platform.operator.append('config', { type: 'config', config: testConfig })
  backend = await startBackend('e1', 'llm', (req, res) => {
    res.writeHead(200, { 'x-id': req.headers['x-id'] ?? '', 'x-seal': 's', 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\n')
  }, { models: [{ name: 'base', adapters: [] }] })
  nodes.platform.servers.append('e1', { type: 'server', server: backend.server, sequence: 1 })
  await untilServed(nodes, requestAdapter)
})
test.after.each(async () => {
  Date.now = wallClock
  backend.close()
  await nodes.stop()
})

// Guards against a former owner that gives a command between the end of a suspension and its next tick, on the strength of a read from before it.
test('gives no command after a suspension until it has read the log', async () => {
  for (let suspensions = 1; suspensions <= 4; suspensions++) {
    const before = commandsAt.length
    await untilServed(nodes, requestAdapter)
    assert.ok(commandsAt.length > before, 'the owner gives commands between two suspensions')
    refused = true
    Date.now = () => wallClock() + suspensions * 8000
    const wokenAt = performance.now()
    const outcome = requestAdapter(nodes.fronts[0]!)
    await sleep(100)
    assert.equal(commandsAt.filter(at => at > wokenAt), [], `suspension ${suspensions}`)
    refused = false
    await outcome
  }
})

test.run()
