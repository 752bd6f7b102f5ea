/** A node that starts again with an earlier time of day than the process before it. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog } from './decision-log'
import { createFleet, nodeRecordOf, type Fleet, type NodeRecord } from './fleet'
import { testNodeSettings } from './testing'

const test = suite('earlier clock')

const tickMs = 100
/** Longer than failure detection takes. */
const detectionMs = 10_000

let time: number
let running: Map<string, Fleet>
let superseded: number

function start (name: string, port: number, incarnation: number): NodeRecord {
  const settings = testNodeSettings(name, 'a', [1, 2, 3, 4, 5, port])
  const self = nodeRecordOf(settings, incarnation)
  const log = createDecisionLog(name, { write: line => { superseded += Number(line.includes('node-superseded')) }, flush: async () => {}, dropped: () => 0 })
  running.set(self.address, createFleet({ self, now: () => time, log, notify: (address, payload) => { setImmediate(() => running.get(address)?.receive(JSON.parse(JSON.stringify(payload)))) }, nodeLost () {} }))
  return self
}

async function run (ms: number): Promise<void> {
  for (const end = time + ms; time < end; time += tickMs) {
    for (const fleet of running.values()) fleet.tick()
    for (let turns = 0; turns < 6; turns++) await new Promise(resolve => setImmediate(resolve))
  }
}

function share (records: NodeRecord[]): void {
  for (const fleet of running.values()) fleet.apply(records.map((value, offset) => ({ key: `node/${value.name}`, offset, value })))
}

for (const [name, secondIncarnation] of [['later', 2_000_000], ['earlier', 940_000]] as const) {
  test(`a node that starts again at a ${name} time of day is alive for its peers`, async () => {
    time = 0
    superseded = 0
    running = new Map()
    const first = start('n1', 7001, 1_000_000)
    const peer = start('n2', 7002, 1_000_000)
    share([first, peer])
    await run(detectionMs)
    assert.ok(running.get(peer.address)!.isAlive('n1'))
    running.delete(first.address)
    await run(detectionMs)
    const second = start('n1', 7001, secondIncarnation)
    share([second, peer])
    await run(detectionMs)
    assert.ok(running.get(peer.address)!.isAlive('n1'), `n1 is dead for n2, told ${superseded} times that it was superseded`)
  })
}

test.run()
