/**
 * Stand-ins of the servers of a deployment (PROTOCOL, "Servers" and "Requests"): model servers that stream events, and
 * servers of a plain service. They are sound: each answers whole, with the request's id and its own seal.
 */
import { createServer } from 'node:http'
import { listen } from './ports.mjs'

const kvTokens = 232_000
const heartbeatMs = 1200

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
 * @param models - models that a model server holds at first; undefined for a plain service
 * @param loadMs - time that a model server takes to load a model that it had before its start
 * @param respond - answers a request: called with the request, its body, the response, its id and the server's software version
 * @param record - what the server did is written to it
 */
export async function startServer ({ id, service, zone, slots, version = '1', models, loadMs = 1200, store, respond, record = () => {} }) {
  let life
  let sequence = 0
  let address

  function json (res, status, body) {
    res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }

  function order (state, res, body) {
    const { operation, model, adapter, holder, fencing_token: token, precondition } = JSON.parse(body)
    record('order', { server: id, operation, model, adapter, holder, token, precondition, sequence: state.orders })
    if (state.busy || (precondition !== undefined && precondition !== state.orders)) return json(res, 409, {})
    state.orders += 1
    if (adapter !== undefined && operation === 'load') state.adapters.set(adapter, 1)
    else if (adapter !== undefined) state.adapters.delete(adapter)
    else if (operation === 'load' && !state.models.includes(model)) {
      state.busy = true
      setTimeout(() => {
        state.busy = false
        state.models.push(model)
        if (state === life) writeEntry()
      }, loadMs)
    }
    json(res, 202, {})
  }

  function listModels ({ models, adapters }) {
    return models.map(name => ({ name, version: 1, adapters: [...adapters].map(([adapter, at]) => `${adapter}@${at}`) }))
  }

  function report (state, res) {
    json(res, 200, { stage: 'unified', models: listModels(state), busy: state.busy, sequence: state.orders, queued: 0, active: 0, kv_used: 0, kv_total: kvTokens, handles: 0, coming: [], born: state.born })
  }

  function handle (state, req, res, body) {
    const { 'expect-instance': expected, 'request-id': requestId, model } = req.headers
    if (expected !== undefined && expected !== id) return res.writeHead(421, { 'instance-id': id, 'request-id': requestId ?? '' }).end()
    if (models !== undefined && req.url === '/-/report') return report(state, res)
    if (models !== undefined && req.url === '/-/order') return order(state, res, body)
    if (requestId === undefined) return res.writeHead(400, { 'not-executed': '1' }).end()
    const [base, adapter] = String(model).split('/')
    const isAbsent = models !== undefined && (!state.models.includes(base) || (adapter !== undefined && !state.adapters.has(adapter)))
    if (isAbsent) return res.writeHead(421, { 'request-id': requestId, 'not-executed': '1' }).end()
    record('run', { server: id, version: state.version, id: requestId, path: req.url, lastEventId: req.headers['last-event-id'] })
    respond({ req, res, body, id: requestId, version: state.version, sendWithConnection })
  }

  /** Starts a process of the server; its counts begin anew. */
  async function start (held, softwareVersion, port) {
    const state = { born: Date.now(), version: softwareVersion, models: held, adapters: new Map(), orders: 0, busy: false }
    sequence = 0
    const server = createServer((req, res) => {
      const chunks = []
      req.on('data', chunk => chunks.push(chunk))
      req.on('end', () => handle(state, req, res, Buffer.concat(chunks).toString()))
    })
    server.on('connection', socket => { socket.on('error', () => {}) })
    address = await listen(server, port)
    life = Object.assign(state, { server, timer: setInterval(writeEntry, heartbeatMs) })
  }

  async function end () {
    const { server, timer } = life
    clearInterval(timer)
    const closed = new Promise(resolve => { server.close(resolve) })
    server.closeAllConnections()
    await closed
  }

  function writeEntry () {
    sequence += 1
    store.write('keyed.servers', id, { service, address, zone, version: life.version, slots, state: life.state ?? 'ready', cold_left_ms: 0, sequence, born: life.born, ...(models === undefined ? {} : { stage: 'unified', models: listModels(life) }) })
  }

  await start([...models ?? []], version)
  return {
    id,
    address,
    writeEntry (state) {
      // One that drains goes on saying so.
      if (state !== undefined) life.state = state
      writeEntry()
    },
    /** The process of a server that drains ends, and its entry is removed. */
    async end () {
      await end()
      store.write('keyed.servers', id, undefined)
      record('server-ended', { server: id })
    },
    /** Ends at once. */
    async crash () {
      record('server-crashed', { server: id })
      await end()
    },
    /** Starts again under its id and address, with nothing loaded. */
    async restart (softwareVersion = version) {
      await start([], softwareVersion, Number(address.split(':')[1]))
      record('server-started', { server: id, version: softwareVersion, born: life.born })
      writeEntry()
    },
    stop () {
      clearInterval(life.timer)
      life.server.closeAllConnections()
      life.server.close()
    }
  }
}
