/**
 * Stand-in of the platform's store (PROTOCOL, "The platform's metadata store"): keyed topics with one partition, appends
 * under a condition, waiting reads and the newest record of each key. Each node has an address of its own, at which the
 * entries of the servers name the links of that node.
 */
import { createServer } from 'node:http'
import { listen } from './ports.mjs'

const lengthBytes = 4
const pageHeaderBytes = 16
/** Time that an append takes, in ms. */
const appendMs = 3
const pageItems = 500

function encode ({ key, value }) {
  const keyBytes = Buffer.from(key)
  const head = Buffer.alloc(lengthBytes + 1)
  head.writeUInt32BE(1 + keyBytes.length + value.length)
  head.writeUInt8(keyBytes.length, lengthBytes)
  return Buffer.concat([head, keyBytes, value])
}

function decode (bytes) {
  const records = []
  for (let start = 0; start < bytes.length;) {
    const end = start + lengthBytes + bytes.readUInt32BE(start)
    const valueStart = start + lengthBytes + 1 + bytes.readUInt8(start + lengthBytes)
    records.push({ key: bytes.subarray(start + lengthBytes + 1, valueStart).toString(), value: bytes.subarray(valueStart, end) })
    start = end
  }
  return records
}

/** @param record - what the store did is written to it */
export async function startStore (record = () => {}) {
  const topics = new Map()
  const servers = []
  const sockets = new Set()
  /** What becomes of the calls of a node, by its name. */
  const treatments = new Map()

  function topicOf (name) {
    if (!topics.has(name)) topics.set(name, { records: [], waiting: new Set() })
    return topics.get(name)
  }

  function appendRecords (name, records) {
    const topic = topicOf(name)
    const offset = topic.records.length
    topic.records.push(...records)
    for (const wake of [...topic.waiting]) wake()
    return offset
  }

  /** @returns the value as the caller reads it */
  function seenBy (caller, name, record) {
    if (name !== 'keyed.servers' || record.value.length === 0) return record
    const entry = JSON.parse(record.value.toString())
    return { ...record, value: Buffer.from(JSON.stringify({ ...entry, address: caller.addressOf(entry.address) })) }
  }

  function reply (res, status, body) {
    if (res.destroyed) return
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body))
    res.writeHead(status, { 'content-type': Buffer.isBuffer(body) ? 'application/octet-stream' : 'application/json', 'content-length': bytes.length }).end(bytes)
  }

  function readTopic (caller, name, query, res) {
    const topic = topicOf(name)
    const from = Number(query.get('from'))
    const waitMs = Number(query.get('wait_ms') ?? 0)
    if (from > topic.records.length) return reply(res, 410, { first: 0 })
    const respond = () => {
      const head = Buffer.alloc(pageHeaderBytes)
      head.writeBigUInt64BE(BigInt(topic.records.length), 0)
      reply(res, 200, Buffer.concat([head, ...topic.records.slice(from).map(record => encode(seenBy(caller, name, record)))]))
    }
    if (from < topic.records.length || waitMs === 0) return respond()
    const end = () => {
      clearTimeout(timer)
      topic.waiting.delete(end)
      respond()
    }
    const timer = setTimeout(end, waitMs)
    topic.waiting.add(end)
    res.once('close', () => {
      clearTimeout(timer)
      topic.waiting.delete(end)
    })
  }

  function newest (caller, name, query, res) {
    const { records } = topicOf(name)
    const byKey = new Map(records.map((item, offset) => [item.key, { ...item, offset }]))
    const after = query.get('after')
    const keys = [...byKey.keys()].sort().filter(key => byKey.get(key).value.length > 0 && (after === null || key > after))
    const items = keys.slice(0, pageItems).map(key => {
      const { value } = seenBy(caller, name, byKey.get(key))
      return { key, value: value.toString('base64'), offset: byKey.get(key).offset }
    })
    reply(res, 200, { items, has_more: keys.length > pageItems, end: records.length })
  }

  function append (caller, name, query, res, body) {
    const { records } = topicOf(name)
    const at = query.get('at')
    if (name === 'keyed.op' || name === 'keyed.servers') return reply(res, 403, {})
    if (at !== null && Number(at) !== records.length) return reply(res, 412, { end: records.length })
    const added = decode(body)
    const offset = appendRecords(name, added)
    for (const { key, value } of added) record('append', { by: caller.name, topic: name, key, offset, value: value.toString() })
    setTimeout(() => reply(res, 200, { offset, end: records.length }), appendMs)
  }

  function handle (caller, req, res, body) {
    const treatment = treatments.get(caller.name) ?? 'served'
    if (treatment === 'refused') return reply(res, 503, {})
    if (treatment === 'silent') return
    if (treatment === 'reset') return res.socket?.resetAndDestroy()
    const { pathname, searchParams } = new URL(req.url, 'http://store')
    const name = searchParams.get('topic')
    if (pathname === '/-/log-read') return readTopic(caller, name, searchParams, res)
    if (pathname === '/-/log-newest') return newest(caller, name, searchParams, res)
    if (pathname === '/-/log-append') return append(caller, name, searchParams, res, body)
    reply(res, 404, {})
  }

  return {
    /**
     * @param name - name of the node that calls there
     * @param addressOf - address at which that node reaches a server
     * @returns a further address of the store
     */
    async addressFor (name, addressOf) {
      const server = createServer((req, res) => {
        const chunks = []
        req.on('data', chunk => chunks.push(chunk))
        req.on('end', () => handle({ name, addressOf }, req, res, Buffer.concat(chunks)))
      })
      server.on('connection', socket => {
        sockets.add(socket)
        socket.on('close', () => sockets.delete(socket))
      })
      servers.push(server)
      return await listen(server)
    },
    treat: (name, treatment) => { treatments.set(name, treatment) },
    /** Writes as the operator or a server does; without a value the key is dropped. */
    write (topic, key, value) {
      return appendRecords(topic, [{ key, value: value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value)) }])
    },
    stop () {
      for (const socket of sockets) socket.destroy()
      for (const server of servers) server.close()
    }
  }
}
