import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Envelope } from './core/core-events'
import type { CoreMessage } from './core/peer-messages'
import { decodeDatagram, encodeDatagram } from './peer-datagram'

const message: CoreMessage = {
  type: 'membership',
  datagram: { type: 'ping', from: 'node-1', probe: 3, updates: [{ id: 'node-1', address: '10.0.0.1:7400', incarnation: 5, refutation: 0, state: 'alive', leaving: false }] }
}
const envelope: Envelope = { from: 'node-1', to: 'node-2', incarnation: 5, revision: -1, stamp: '1780000000000.3', message }

test('decodes the envelope that was encoded', () => {
  assert.equal(decodeDatagram(Buffer.from(encodeDatagram(envelope))), envelope)
})

// Guards against a malformed datagram from any sender crashing the node or being taken for a message.
test('rejects malformed datagrams', () => {
  const texts = ['', '{', '{}', '[]', '["a","b",1,2,[]]', '["a",2,1,2,[0,"a",1,[]]]', '["a","b","x",2,[0,"a",1,[]]]', '["a","b",1,2.5,[0,"a",1,[]]]']
  for (const text of texts) assert.is(decodeDatagram(Buffer.from(text)), undefined, text)
})

test('refuses to encode messages other than membership', () => {
  assert.throws(() => encodeDatagram({ ...envelope, message: { type: 'permit-ask' } }), /cannot be sent/)
})

test.run()
