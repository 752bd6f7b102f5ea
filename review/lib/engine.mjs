/** Stand-in of a model server: adapters by order, requests as streams of events, entries in the store. */
import { createServer } from 'node:http'

const loadMs = 250
const firstEventMs = 60
const eventGapMs = 30
const eventCount = 4
const heartbeatMs = 1200

/**
 * @param options.record - called with what the server gets and does
 * @param options.behave - may answer a request in place of a sound server; returns whether it did
 */
export async function startEngine ({ id, host, zone, service, model, slots, adapterSlots, store, record, behave }) {
  const born = Date.now()
  const adapters = new Map()
  const coming = new Set()
  const running = new Set()
  const heartbeat = { timer: undefined, sequence: 0, state: 'ready' }
  let orders = 0
  let report

  function state () {
    const held = [...adapters].filter(([name]) => !coming.has(name)).map(([name, version]) => `${name}@${version}`)
    return { stage: 'unified', born, models: [{ name: model, version: 1, adapters: held }], busy: false, sequence: orders, queued: 0, active: running.size, kv_used: 0, kv_total: 232_000, handles: 0, coming: [...coming].map(name => `${model}/${name}@${adapters.get(name)}`) }
  }

  function json (res, status, body) {
    res.writeHead(status, { 'Content-Type': 'application/json', 'Instance-Id': id }).end(JSON.stringify(body))
  }

  function carryOut ({ operation, adapter, version, precondition }) {
    if (precondition !== undefined && precondition !== orders) return 409
    if (operation === 'load' && adapters.has(adapter) && !coming.has(adapter)) return 200
    if (operation === 'load') {
      orders += 1
      adapters.set(adapter, version ?? 1)
      coming.add(adapter)
      setTimeout(() => coming.delete(adapter), loadMs)
      if (adapters.size > adapterSlots) record('crash', { server: id, adapters: adapters.size })
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

  const server = createServer((req, res) => {
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
  })
  server.keepAliveTimeout = 15_000
  await new Promise(resolve => server.listen(0, host, resolve))
  const address = `${host}:${server.address().port}`

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
    address,
    stop () {
      clearInterval(reportTimer)
      clearInterval(heartbeat.timer)
      server.closeAllConnections()
      server.close()
    }
  }
}
