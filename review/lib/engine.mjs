/** Stand-in of a model server: adapters by order, requests as streams of events, entries in the store. */
import { createServer } from 'node:http'

const loadMs = 250
/** Load of the base model from the server's own disk, in ms. */
const modelLoadMs = 400
const firstEventMs = 60
const eventGapMs = 30
const eventCount = 4
const heartbeatMs = 1200

/**
 * @param options.record - called with what the server gets and does
 * @param options.crashes - whether the server crashes as it begins to answer the request
 * @param options.downMs - time until it is back
 * @param options.behave - may answer a request in place of a sound server; returns whether it did
 */
export async function startEngine ({ id, host, zone, service, model, slots, adapterSlots, store, record, behave, crashes, downMs = 4000 }) {
  let born = Date.now()
  let hasModel = true
  let server
  let address
  const sockets = new Set()
  const adapters = new Map()
  const coming = new Set()
  const running = new Set()
  const heartbeat = { timer: undefined, sequence: 0, state: 'ready' }
  let orders = 0
  let report

  function state () {
    const held = [...adapters].filter(([name]) => !coming.has(name)).map(([name, version]) => `${name}@${version}`)
    return { stage: 'unified', born, models: hasModel ? [{ name: model, version: 1, adapters: held }] : [], busy: false, sequence: orders, queued: 0, active: running.size, kv_used: 0, kv_total: 232_000, handles: 0, coming: [...coming].map(name => `${model}/${name}@${adapters.get(name)}`) }
  }

  function json (res, status, body) {
    res.writeHead(status, { 'Content-Type': 'application/json', 'Instance-Id': id }).end(JSON.stringify(body))
  }

  function carryOut ({ operation, adapter, version, precondition }) {
    if (precondition !== undefined && precondition !== orders) return 409
    if (adapter === undefined) {
      if (operation !== 'load') return 400
      if (hasModel) return 200
      orders += 1
      setTimeout(() => { hasModel = true }, modelLoadMs)
      return 202
    }
    if (!hasModel) return 409
    if (operation === 'load' && adapters.has(adapter) && !coming.has(adapter)) return 200
    if (operation === 'load') {
      orders += 1
      adapters.set(adapter, version ?? 1)
      coming.add(adapter)
      setTimeout(() => coming.delete(adapter), loadMs)
      if (adapters.size > adapterSlots) record('overloaded', { server: id, adapters: adapters.size })
      return 202
    }
    orders += 1
    adapters.delete(adapter)
    coming.delete(adapter)
    return 200
  }

  function order (req, res, body) {
    const order = JSON.parse(body.toString())
    const status = order.holder === undefined || order.fencing_token === undefined ? 400 : carryOut(order)
    record('order', { server: id, operation: order.operation, adapter: order.adapter, holder: order.holder, fence: order.fencing_token, precondition: order.precondition, status })
    json(res, status, {})
  }

  function run (req, res) {
    const requestId = req.headers['request-id'] ?? ''
    const adapter = (req.headers.model ?? '').split('/')[1]
    const startedAs = born
    const refuse = status => {
      record('not-run', { server: id, request: requestId, status })
      res.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', 'Instance-Id': id }).end()
    }
    if (requestId === '') return refuse(400)
    if (adapter !== undefined && (!adapters.has(adapter) || coming.has(adapter))) return refuse(421)
    if (running.size >= slots) return refuse(503)
    running.add(requestId)
    record('run', { server: id, request: requestId, adapter })
    let event = 0
    const next = () => {
      if (startedAs !== born) return
      if (event === 0 && crashes?.(req) === true) return crash()
      if (event === 0) res.writeHead(200, { 'Content-Type': 'text/event-stream', 'Request-Id': requestId, 'Response-Seal': `seal.${requestId}`, 'Weight-Versions': '1' })
      event += 1
      res.write(`id: ${event}\ndata: ${adapter ?? 'base'} ${event}\n\n`)
      if (event < eventCount) timer = setTimeout(next, eventGapMs)
      else res.end()
    }
    let timer = setTimeout(next, firstEventMs)
    res.on('close', () => {
      clearTimeout(timer)
      running.delete(requestId)
      record('run-ended', { server: id, request: requestId, complete: event === eventCount })
    })
  }

  const handler = (req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      const expected = req.headers['expect-instance']
      if (expected !== undefined && expected !== id) return json(res, 421, {})
      if (req.url === '/-/report') return json(res, 200, report)
      if (req.url === '/-/order') return order(req, res, Buffer.concat(chunks))
      if (behave?.(req, res) === true) return
      run(req, res)
    })
  }

  async function listen (port) {
    server = createServer(handler)
    server.keepAliveTimeout = 15_000
    server.on('connection', socket => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => sockets.delete(socket))
    })
    await new Promise((resolve, reject) => server.once('error', reject).listen(port, host, resolve))
    address = `${host}:${server.address().port}`
  }

  /** Ends at once, and starts again under the same id and address, without anything that it held. */
  function crash () {
    const { port } = server.address()
    record('crash', { server: id, running: [...running] })
    clearInterval(heartbeat.timer)
    server.close()
    for (const socket of sockets) socket.resetAndDestroy()
    running.clear()
    adapters.clear()
    coming.clear()
    born = 0
    hasModel = false
    orders = 0
    setTimeout(async () => {
      born = Date.now()
      report = state()
      await listen(port)
      heartbeat.sequence = 0
      beat()
      heartbeat.timer = setInterval(beat, heartbeatMs)
      record('restarted', { server: id })
    }, downMs)
  }

  await listen(0)

  function beat () {
    heartbeat.sequence += 1
    store.write('keyed.servers', id, { service, address, zone, version: 'v1', slots, state: heartbeat.state, cold_left_ms: 0, born, stage: 'unified', models: state().models, sequence: heartbeat.sequence })
  }

  report = state()
  const reportTimer = setInterval(() => { report = state() }, 200)
  beat()
  heartbeat.timer = setInterval(beat, heartbeatMs)

  return {
    id,
    stop () {
      clearInterval(reportTimer)
      clearInterval(heartbeat.timer)
      server.closeAllConnections()
      server.close()
    }
  }
}
