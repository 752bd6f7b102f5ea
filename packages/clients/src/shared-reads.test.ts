/** Requests within the limits whose chunks or headers make up most of their bytes. */
import type { Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedServer } from './bounded-server'

const test = suite('shared reads')
const bodyBytes = 4_194_304
const head = 'POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n'
let server: Server
let sizes: number[]

function send (text: string, chunk = '', count = 0, end = ''): Promise<string> {
  return new Promise((resolve, reject) => {
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1')
    let received = ''
    client.on('data', bytes => { received += String(bytes) })
    client.on('error', reject)
    client.on('close', () => { resolve(received.slice(9, 12)) })
    client.write(text)
    const piece = 4096
    let left = count
    const fill = (): void => {
      const now = Math.min(piece, left)
      if (now === 0) {
        client.write(end)
        return
      }
      left -= now
      if (client.write(chunk.repeat(now))) setImmediate(fill)
      else client.once('drain', fill)
    }
    fill()
  })
}

test.before.each(async () => {
  sizes = []
  server = createBoundedServer((req, res) => {
    let size = 0
    req.on('data', (chunk: Buffer) => { size += chunk.length })
    req.on('end', () => {
      sizes.push(size)
      res.end()
    })
  }, { maxHeaderSize: 20_480 })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
})
test.after.each(() => { server.close() })

// Guards against a request within the limits that is refused, or never read to its end.
for (const size of [1, 16, 65_536]) {
  test(`a body of 4 MB in chunks of ${size} is read`, async () => {
    assert.is(await send(`${head}transfer-encoding: chunked\r\n\r\n`, `${size.toString(16)}\r\n${'x'.repeat(size)}\r\n`, bodyBytes / size, '0\r\n\r\n'), '200')
    assert.equal(sizes, [bodyBytes])
  })
}

// Guards against a client that is alone on its port and whose headers take its share.
test('16 KB of headers are read', async () => {
  assert.is(await send(`${head}a: ${'x'.repeat(16_000)}\r\ncontent-length: 1\r\n\r\nx`), '200')
})

test.run()
