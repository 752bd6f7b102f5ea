import { xoroshiro128plus } from 'pure-rand'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { encodeMembership } from './member-gossip'
import { createMembership, membershipDefaults } from './membership'
import type { MembershipAction } from './membership-types'

const headerBytes = 28
const controlBytesPerSecond = 3 * 1024
const seconds = 20

// Guards against gossip that exceeds a node's control traffic budget when many nodes start or fail at once.
test('stays within the control traffic budget of a node when all nodes start and a third fails', () => {
  const count = 60
  const list = Array.from({ length: count }, (_, index) => ({ id: `node-${index}`, address: `10.0.0.${index}:7400`, zone: `zone-${index % 3}`, region: 'region', state: 'live' as const }))
  const nodes = new Map(list.map(({ id, address }, index) =>
    [id, createMembership({ ...membershipDefaults, self: { id, address, incarnation: 1_700_000_000_000 + index }, random: xoroshiro128plus(index + 1) })]))
  let bytes = 0
  const deliver = (actions: MembershipAction[], now: number): void => {
    for (const action of actions) {
      if (action.type !== 'datagram') continue
      bytes += Buffer.byteLength(encodeMembership(action.message)) + headerBytes
      const receiver = nodes.get(action.to)
      if (receiver !== undefined) deliver(receiver.step({ type: 'datagram', message: action.message }, now), now)
    }
  }
  const perNodeSecond = (from: number): number => {
    bytes = 0
    for (let now = from; now < from + seconds * 1000; now += 100) {
      for (const node of nodes.values()) deliver(node.step({ type: 'tick' }, now), now)
    }
    return 2 * bytes / (nodes.size * seconds)
  }
  for (const node of nodes.values()) node.step({ type: 'instance-list', asOf: 1, nodes: list }, 0)
  const start = perNodeSecond(0)
  assert.ok(start <= controlBytesPerSecond, `start: ${start} bytes/s`)
  for (let index = 0; index < count; index += 3) nodes.delete(`node-${index}`)
  const failure = perNodeSecond(seconds * 1000)
  assert.ok(failure <= controlBytesPerSecond, `failure of a third: ${failure} bytes/s`)
  const survivor = nodes.get('node-1')!
  assert.is(survivor.member('node-0')?.state, 'dead')
})

test.run()
