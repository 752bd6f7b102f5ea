/** The memory of a node while a server answers many requests without end. */
import { suite } from 'uvu'
import { checkMemory, useEndlessServer } from './testing'

const test = suite('memory under endless responses')
useEndlessServer(test)

const filler = 'x'.repeat(64 * 1024)

for (const [name, head, repeated] of [
  ['a body that only the close would end', '', filler],
  ['chunks', 'transfer-encoding: chunked\r\n', `10000\r\n${filler}\r\n`],
  ['a body of a stated length', 'content-length: 1000000000000\r\n', filler]
] as const) {
  // Guards against a node that is killed for its memory, and with it the requests of all other clients.
  test(`a server that sends ${name} without end does not fill the memory`, async () => {
    await checkMemory(head, repeated)
  })
}

test.run()
