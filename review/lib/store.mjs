/** Stand-in of the platform's store: keyed topics with one partition, as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

const headBytes = 16
/** Time that the store takes for an answer, in ms. */
const answerMs = 4

function encode ({ key, value }) {
  const keyBytes = Buffer.from(key)
  const record = Buffer.alloc(5 + keyBytes.length + value.length)
  record.writeUInt32BE(1 + keyBytes.length + value.length, 0)
  record.writeUInt8(keyBytes.length, 4)
  keyBytes.copy(record, 5)
  value.copy(record, 5 + keyBytes.length)
  return record
}

function decode (bytes) {
  const records = []
  for (let start = 0; start < bytes.length;) {
    const end = start + 4 + bytes.readUInt32BE(start)
    const valueStart = start + 5 + bytes.readUInt8(start + 4)
    records.push({ key: bytes.subarray(start + 5, valueStart).toString(), value: Buffer.from(bytes.subarray(valueStart, end)) })
    start = end
  }
  return records
}

/** @param host - loopback address */
export async function startStore (host) {
  const servers = []
  /** Machines that the store turns away. */
  const turnedAway = new Set()
  const topics = new Map()
  const operatorTopics = new Set(['keyed.op', 'keyed.servers'])
  let down = false

  function topicOf (name) {
    if (!topics.has(name)) topics.set(name, { records: [], waiting: new Set() })
    return topics.get(name)
  }

  function add (topic, records) {
    const offset = topic.records.length
    topic.records.push(...records)
    for (const wake of [...topic.waiting]) wake()
    return offset
  }

  function send (res, status, body) {
    if (res.writableEnded || res.destroyed) return
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
    res.writeHead(status, { 'Store-Era': '1', 'Content-Type': Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json', 'Content-Length': bytes.length }).end(bytes)
  }

  function read (topic, query, res) {
    const from = Number(query.get('from'))
    const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0))
    if (from > topic.records.length) return send(res, 410, { first: 0 })
    const respond = () => {
      if (down) return send(res, 503, {})
      const head = Buffer.alloc(headBytes)
      head.writeBigUInt64BE(BigInt(topic.records.length), 0)
      send(res, 200, Buffer.concat([head, ...topic.records.slice(from).map(encode)]))
    }
    if (from < topic.records.length || waitMs === 0) return respond()
    const wake = () => {
      clearTimeout(timer)
      topic.waiting.delete(wake)
      respond()
    }
    const timer = setTimeout(wake, waitMs)
    topic.waiting.add(wake)
  }

  function newest (topic) {
    const byKey = new Map(topic.records.map((record, offset) => [record.key, { ...record, offset }]))
    const items = [...byKey.values()].filter(({ value }) => value.length > 0)
    return { items: items.map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset })), has_more: false, end: topic.records.length }
  }

  function handle (machine, req, res, body) {
    if (down || turnedAway.has(machine)) return send(res, 503, {})
    const { pathname, searchParams } = new URL(req.url, 'http://store')
    const name = searchParams.get('topic') ?? ''
    const topic = topicOf(name)
    if (pathname === '/-/log-read') return read(topic, searchParams, res)
    if (pathname === '/-/log-newest') return send(res, 200, newest(topic))
    if (pathname !== '/-/log-append') return send(res, 404, {})
    if (operatorTopics.has(name)) return send(res, 403, {})
    const at = searchParams.get('at')
    if (at !== null && Number(at) !== topic.records.length) return send(res, 412, { end: topic.records.length })
    const offset = add(topic, decode(body))
    send(res, 200, { offset, end: topic.records.length })
  }

  return {
    /** @returns an address of the store at which only this machine calls */
    async addressFor (machine) {
      const server = createServer((req, res) => {
        const chunks = []
        req.on('data', chunk => chunks.push(chunk))
        req.on('end', () => setTimeout(() => handle(machine, req, res, Buffer.concat(chunks)), answerMs))
      })
      server.keepAliveTimeout = 20_000
      servers.push(server)
      await new Promise(resolve => server.listen(0, host, resolve))
      return `${host}:${server.address().port}`
    },
    /** Answers 503 to the calls of one machine, those that wait included. */
    turnAway (machine, value) {
      if (value) turnedAway.add(machine)
      else turnedAway.delete(machine)
    },
    /** Writes as the operator or as a server does; undefined removes the key. */
    write (topic, key, value) {
      return add(topicOf(topic), [{ key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)) }])
    },
    /** Answers 503 to all calls while it is down. */
    setDown (value) {
      down = value
      if (down) for (const { waiting } of topics.values()) for (const wake of [...waiting]) wake()
    },
    stop () {
      for (const server of servers) {
        server.closeAllConnections()
        server.close()
      }
    }
  }
}
