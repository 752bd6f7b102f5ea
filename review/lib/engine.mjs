/** Stand-in of a model server: adapters by order, requests as streams of events, entries in the store. */
import { createServer } from 'node:http'

const loadMs = 250
/** Prompt tokens that the server reads in a ms, one prompt after the other. */
const prefillTokensPerMs = 38.7
/** Load of the base model from the server's own disk, in ms. */
const modelLoadMs = 400
const firstEventMs = 30
const eventGapMs = 30
const eventCount = 4
const heartbeatMs = 1200

/**
 * @param options.record - called with what the server gets and does
 * @param options.crashes - whether the server crashes as it begins to answer the request
 * @param options.downMs - time until it is back
 * @param options.behave - may answer a request in place of a sound server; returns whether it did
 */
export async function startEngine ({ id, host, zone, service, model, holds = [model], weightsMb = { [model]: 34_300 }, memoryMb = 35_000, adapterMb = 66, slots, adapterSlots, store, record, behave, crashes, downMs = 4000 }) {
  let born = Date.now()
  /** Models that the server holds, and adapters as MODEL/NAME, by version. */
  const models = new Set(holds)
  let prefillUntil = 0
  let server
  let address
  const sockets = new Set()
  const adapters = new Map()
  const coming = new Set()
  const running = new Set()
  const heartbeat = { timer: undefined, sequence: 0, state: 'ready' }
  let orders = 0
  let loadingModel
  let report

  function state () {
    const held = name => [...adapters].filter(([key]) => !coming.has(key) && key.startsWith(`${name}/`)).map(([key, version]) => `${key.slice(name.length + 1)}@${version}`)
    return { stage: 'unified', born, models: [...models].map(name => ({ name, version: 1, adapters: held(name) })), busy: loadingModel !== undefined, sequence: orders, queued: 0, active: running.size, kv_used: 0, kv_total: 232_000, handles: 0, coming: [...coming].map(key => `${key}@${adapters.get(key)}`) }
  }

  function json (res, status, body) {
    res.writeHead(status, { 'Content-Type': 'application/json', 'Instance-Id': id }).end(JSON.stringify(body))
  }

  /** A server that is ordered to load more than it holds crashes. */
  function checkMemory () {
    const loaded = [...models, ...(loadingModel === undefined ? [] : [loadingModel])]
    const usedMb = loaded.reduce((sum, name) => sum + weightsMb[name], 0) + adapters.size * adapterMb
    if (usedMb <= memoryMb && adapters.size <= adapterSlots) return
    record('overloaded', { server: id, usedMb, memoryMb, models: loaded, adapters: adapters.size, adapterSlots })
    crash()
  }

  function loadModel (name) {
    if (models.has(name)) return 200
    if (loadingModel !== undefined) return 409
    const startedAs = born
    orders += 1
    loadingModel = name
    setTimeout(() => {
      if (startedAs !== born) return
      loadingModel = undefined
      models.add(name)
    }, modelLoadMs)
    return 202
  }

  function carryOut ({ operation, model: name, adapter, version, precondition }) {
    if (precondition !== undefined && precondition !== orders) return 409
    if (adapter === undefined) return operation === 'load' ? loadModel(name) : 400
    if (!models.has(name)) return 400
    const key = `${name}/${adapter}`
    if (operation === 'load' && adapters.has(key) && !coming.has(key)) return 200
    orders += 1
    if (operation !== 'load') {
      adapters.delete(key)
      coming.delete(key)
      return 200
    }
    adapters.set(key, version ?? 1)
    coming.add(key)
    setTimeout(() => coming.delete(key), loadMs)
    return 202
  }

  function order (req, res, body) {
    const order = JSON.parse(body.toString())
    const status = order.holder === undefined || order.fencing_token === undefined ? 400 : carryOut(order)
    record('order', { server: id, operation: order.operation, model: order.model, adapter: order.adapter, holder: order.holder, fence: order.fencing_token, precondition: order.precondition, status })
    json(res, status, {})
    checkMemory()
  }

  function run (req, res) {
    const requestId = req.headers['request-id'] ?? ''
    const [name, adapter] = (req.headers.model ?? '').split('/')
    const key = adapter === undefined ? undefined : `${name}/${adapter}`
    const startedAs = born
    const refuse = status => {
      record('not-run', { server: id, request: requestId, status })
      res.writeHead(status, { 'Request-Id': requestId, 'Not-Executed': '1', 'Instance-Id': id }).end()
    }
    if (requestId === '') return refuse(400)
    if (!models.has(name) || (key !== undefined && (!adapters.has(key) || coming.has(key)))) return refuse(421)
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
    prefillUntil = Math.max(Date.now(), prefillUntil) + Number((req.headers['token-usage'] ?? '0').split(',')[0]) / prefillTokensPerMs
    let timer = setTimeout(next, firstEventMs + prefillUntil - Date.now())
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
    models.clear()
    loadingModel = undefined
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
