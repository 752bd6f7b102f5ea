/** Stand-in of a server of a plain service: answers requests after a while, and writes its entry in the store. */
import { createServer } from 'node:http'

const heartbeatMs = 1200

/** @param options.record - called with what the server gets and does */
export async function startPlainServer ({ id, host, zone, service, slots, workMs, store, record }) {
  const born = Date.now()
  const bodyBytes = 800
  let sequence = 0
  let running = 0

  const server = createServer((req, res) => {
    req.resume()
    req.on('end', () => {
      const requestId = req.headers['request-id'] ?? ''
      const expected = req.headers['expect-instance']
      const refuse = status => {
        record('not-run', { server: id, request: requestId, status })
        res.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', 'Instance-Id': id }).end()
      }
      if (expected !== undefined && expected !== id) return refuse(421)
      if (running >= slots) return refuse(503)
      running += 1
      record('run', { server: id, request: requestId })
      setTimeout(() => {
        running -= 1
        res.writeHead(200, { 'Request-Id': requestId, 'Response-Seal': `seal.${requestId}`, 'Content-Length': bodyBytes }).end('x'.repeat(bodyBytes))
      }, workMs)
    })
  })
  server.keepAliveTimeout = 15_000
  await new Promise(resolve => server.listen(0, host, resolve))
  const address = `${host}:${server.address().port}`

  /** @returns the next entry; it is written now, or `lateMs` later if the store has not answered the call */
  function beat (lateMs = 0) {
    sequence += 1
    const entry = { service, address, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, born, sequence }
    const write = () => {
      store.write('keyed.servers', id, entry)
      record('entry-written', { server: id, sequence: entry.sequence, lateMs })
    }
    if (lateMs === 0) write()
    else setTimeout(write, lateMs)
  }

  beat()
  let timer = setInterval(beat, heartbeatMs)

  return {
    id,
    /** Writes one entry that the store does not answer and carries out late. */
    beatLate (lateMs) {
      clearInterval(timer)
      beat(lateMs)
      timer = setInterval(beat, heartbeatMs)
    },
    stopBeats: () => clearInterval(timer),
    stop () {
      clearInterval(timer)
      server.closeAllConnections()
      server.close()
    }
  }
}
