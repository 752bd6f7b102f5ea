/**
 * Stand-ins of the servers of a deployment (PROTOCOL, "Servers" and "Requests"): model servers that stream events, and
 * servers of a plain service. They are sound: each answers whole, with the request's id and its own seal.
 */
import { createServer } from 'node:http'
import { listen } from './ports.mjs'

const kvTokens = 232_000
const heartbeatMs = 1200

function json (res, status, body) {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

/** @returns the events of a whole stream */
export function eventsOf (id, count) {
  return Array.from({ length: count }, (_, index) => `id: ${index + 1}\ndata: ${id} piece ${index + 1} of ${count}\n\n`)
}

/** Sends pieces one after the other and ends with the connection: the answer has neither a length nor chunks. */
function sendWithConnection (res, headers, pieces, gapMs, done) {
  const { socket } = res
  const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.write(`HTTP/1.1 200 OK\r\n${head}connection: close\r\n\r\n`)
  let next = 0
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer)
      return done(false)
    }
    socket.write(pieces[next++])
    if (next < pieces.length) return
    clearInterval(timer)
    socket.end(() => done(true))
  }, gapMs)
}

/**
 * @param service - name of the service
 * @param models - models that a model server holds; undefined for a plain service
 * @param respond - answers a request: called with the request, its body, the response and its id
 * @param record - what the server did is written to it
 */
export async function startServer ({ id, service, zone, slots, models, store, respond, record = () => {} }) {
  const born = Date.now()
  let sequence = 0
  let orders = 0
  const held = new Map()

  function order (req, res, body) {
    const { operation, adapter, holder, fencing_token: token, precondition } = JSON.parse(body)
    record('order', { server: id, operation, adapter, holder, token, precondition, sequence: orders })
    if (precondition !== undefined && precondition !== orders) return json(res, 409, {})
    orders += 1
    if (operation === 'load' && adapter !== undefined) held.set(adapter, 1)
    else if (adapter !== undefined) held.delete(adapter)
    json(res, 202, {})
  }

  function listModels () {
    return models.map(name => ({ name, version: 1, adapters: [...held].map(([adapter, version]) => `${adapter}@${version}`) }))
  }

  function report (res) {
    json(res, 200, { stage: 'unified', models: listModels(), busy: false, sequence: orders, queued: 0, active: 0, kv_used: 0, kv_total: kvTokens, handles: 0, coming: [], born })
  }

  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      const body = Buffer.concat(chunks).toString()
      const { 'expect-instance': expected, 'request-id': requestId } = req.headers
      if (expected !== undefined && expected !== id) return res.writeHead(421, { 'instance-id': id, 'request-id': requestId ?? '' }).end()
      if (models !== undefined && req.url === '/-/report') return report(res)
      if (models !== undefined && req.url === '/-/order') return order(req, res, body)
      if (requestId === undefined) return res.writeHead(400, { 'not-executed': '1' }).end()
      record('run', { server: id, id: requestId, path: req.url })
      respond({ req, res, body, id: requestId, sendWithConnection })
    })
  })
  const address = await listen(server)

  function writeEntry (state = 'ready') {
    sequence += 1
    store.write('keyed.servers', id, { service, address, zone, version: '1', slots, state, cold_left_ms: 0, sequence, born, ...(models === undefined ? {} : { stage: 'unified', models: listModels() }) })
  }

  const timer = setInterval(writeEntry, heartbeatMs)
  return {
    id,
    address,
    writeEntry,
    stop () {
      clearInterval(timer)
      server.closeAllConnections()
      server.close()
    }
  }
}
