/** Requests within the limits whose chunks or headers make up most of their bytes. */
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBoundedServer } from './bounded-server'
import { createSharedReads } from './shared-reads'

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

// Guards against clients that wait although the thread is free, because the time without requests counted as time of a read.
test('requests that arrive after a pause are read without a further one', async () => {
  let now = 0
  const reads = createSharedReads(() => now)
  reads.configure({ overheadBytes: 64, overheadBytesPerSecond: 0 })
  const other = createServer((_req, res) => { res.end() })
  reads.add(other)
  await new Promise<void>(resolve => other.listen(0, '127.0.0.1', resolve))
  const clients = [1, 2].map(() => connect((other.address() as AddressInfo).port, '127.0.0.1'))
  const { setTimeout } = globalThis
  let pauses = 0
  globalThis.setTimeout = ((...args: Parameters<typeof setTimeout>) => {
    pauses += 1
    return setTimeout(...args)
  }) as typeof setTimeout
  try {
    for (let round = 0; round < 10; round++) {
      await Promise.all(clients.map(async client => await new Promise<void>(resolve => {
        client.once('data', () => { resolve() })
        client.write(`GET / HTTP/1.1\r\nhost: a\r\na: ${'x'.repeat(200)}\r\n\r\n`)
      })))
      // All turns that were due come before the next requests.
      for (let turn = 0; turn < 10; turn++) await new Promise(resolve => { setImmediate(resolve) })
      now += 1000
    }
  } finally {
    globalThis.setTimeout = setTimeout
    for (const client of clients) client.destroy()
    other.close()
  }
  assert.is(pauses, 0)
})

// Guards against requests that are refused as late although they wait for other connections to be read.
test('the time of a connection ends after what waits for its batch has been read', async () => {
  let now = 0
  const longMs = 100
  const events: string[] = []
  const reads = createSharedReads(() => now)
  const sockets: Socket[] = []
  const clients: Socket[] = []
  const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`
  const ended = new Promise<void>(resolve => {
    const other = createServer((req, res) => {
      events.push(req.url!)
      res.end()
      if (req.url !== '/long') return
      now += longMs
      clients[10]!.write(get('/waiting'))
      setImmediate(() => {
        reads.afterReading(sockets[10]!, () => {
          events.push('end of its time')
          for (const client of clients) client.destroy()
          other.close()
          resolve()
        })
      })
    })
    reads.add(other)
    other.on('connection', socket => {
      sockets.push(socket)
      if (sockets.length < 20) open()
      else ['/first', '/long'].forEach((path, index) => { clients[index]!.write(get(path)) })
    })
    const open = (): void => { clients.push(connect((other.address() as AddressInfo).port, '127.0.0.1').on('error', () => {})) }
    other.listen(0, '127.0.0.1', open)
  })
  await ended
  assert.equal(events, ['/first', '/long', '/waiting', 'end of its time'])
})

test.run()
