/** The memory of a node while a server answers in small pieces without end. */
import { suite } from 'uvu'
import { checkMemory, useEndlessServer } from './testing'

const test = suite('memory under small pieces')
useEndlessServer(test)

const chunked = 'transfer-encoding: chunked\r\n'
const pieceBytes = 64 * 1024
const oneByte = '1\r\nx\r\n'
const extended = `1;a=${'b'.repeat(pieceBytes)}\r\nx\r\n`

for (const [name, head, repeated] of [
  ['chunks of one byte', chunked, oneByte.repeat(pieceBytes / oneByte.length)],
  ['chunks of one byte with long extensions', chunked, extended]
] as const) {
  // Guards against a node that ends because each piece costs many times its bytes.
  test(`a server that sends ${name} without end does not fill the memory`, async () => {
    await checkMemory(head, repeated)
  })
}

test.run()
