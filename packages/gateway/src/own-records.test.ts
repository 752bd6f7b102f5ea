import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { DecisionLog } from './decision-log'
import { createOwnRecords } from './own-records'
import type { FeedRecord, FleetRecord, NodeSettings } from './platform-interface'
import { createFakePlatform } from './testing'

const test = suite('own records')
const log = { info () {}, warn () {}, error () {} } as unknown as DecisionLog
const block = (part: string): FleetRecord => ({ type: 'blocked-part', part, at: 5 })

// Guards against blocks and nodes that a process that starts after a restoration of the store does not know.
test('appends the accepted records again that the store has lost or has in an earlier form', async () => {
  const { fleet } = createFakePlatform({} as NodeSettings)
  const own = createOwnRecords({ fleetLog: fleet, log, random: () => 0, leaving: () => false })
  for (const part of ['p1', 'p2', 'p3']) await own.append(part, block(part), 'failed')
  const newest: FeedRecord<FleetRecord>[] = [{ key: 'p1', offset: 0, value: block('p1') }, { key: 'p2', offset: 1, value: block('other') }]
  await own.appendMissing(newest)
  await sleep(0)
  assert.equal((await fleet.read(3, 0)).unwrap().records.map(({ key }) => key), ['p2', 'p3'])
})

// Guards against a block that returns after operators have lifted it.
test('does not append records again that operators have removed', async () => {
  const { fleet } = createFakePlatform({} as NodeSettings)
  const own = createOwnRecords({ fleetLog: fleet, log, random: () => 0, leaving: () => false })
  for (const part of ['p1', 'p2']) await own.append(part, block(part), 'failed')
  own.read([{ key: 'p1', offset: 2, value: undefined }, { key: 'p2', offset: 0, value: undefined }])
  await own.appendMissing([])
  assert.equal((await fleet.read(2, 0)).unwrap().records.map(({ key }) => key), ['p2'])
})

test.run()
