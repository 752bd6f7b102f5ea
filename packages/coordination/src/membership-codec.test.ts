import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { packMembership, unpackMembership } from './membership-codec'
import type { MembershipMessage } from './membership-types'

const message: MembershipMessage = {
  type: 'ping-request',
  from: 'node-1',
  probe: 17,
  target: { id: 'node-2', address: '10.0.0.2:7400' },
  updates: [
    { id: 'node-1', address: '10.0.0.1:7400', incarnation: 1_700_000_000_000, refutation: 0, state: 'alive', leaving: true },
    { id: 'node-3', address: '10.0.0.3:7400', incarnation: 1_700_000_000_001, refutation: 2, state: 'dead', leaving: false }
  ]
}

// Guards against a lost field, especially the leaving flag, which is packed into one number with the state.
test('unpacks the message that was packed', () => {
  const wire = JSON.parse(JSON.stringify(packMembership(message)))
  assert.equal(unpackMembership(wire), message)
  const { target, ...ack } = { ...message, type: 'ack' as const }
  assert.equal(unpackMembership(JSON.parse(JSON.stringify(packMembership(ack)))), ack)
})

// Guards against a malformed datagram from outside that crashes or misleads the node.
test('rejects every message with one invalid part', () => {
  const corruptions: ((wire: any) => void)[] = [
    wire => { wire[0] = 3 },
    wire => { wire[1] = 5 },
    wire => { wire[2] = -1 },
    wire => { wire[3] = 'none' },
    wire => { wire[3][0] = null },
    wire => { wire[3][0][2] = 1.5 },
    wire => { wire[3][1][4] = 3 },
    wire => { wire[3][1][4] = 8 },
    wire => { wire.length = 5 },
    wire => { wire[5] = 'node-2' },
    ...['', 'node-3', '10.0.0.3', '10.0.0.3:', '10.0.0.3:0', '10.0.0.3:65536', '10.0.0.3:99999', '10.0.0.3:x', ':7400', 7400].map(address => (wire: any) => { wire[3][1][1] = address })
  ]
  for (const corrupt of corruptions) {
    const wire = JSON.parse(JSON.stringify(packMembership(message)))
    corrupt(wire)
    assert.is(unpackMembership(wire), undefined, corrupt.toString())
  }
  for (const wire of [null, 1, 'ping', {}, []]) assert.is(unpackMembership(wire), undefined)
})

test.run()
