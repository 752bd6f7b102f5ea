/** As case 7, but the servers reset their answers right behind what they have sent, so that the node in between reads both at once. */
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase, trouble } from '../stand-ins-2/case.mjs'
import { send } from '../stand-ins-2/client.mjs'
import { startLink } from '../stand-ins-2/link.mjs'
import { startNodes } from '../stand-ins-2/nodes.mjs'
import { reset } from '../stand-ins-2/ports.mjs'
import { startServer } from '../stand-ins-2/servers.mjs'
import { startStore } from '../stand-ins-2/store.mjs'

const host = 'quotes.example'
const zones = ['za', 'zb', 'zc', 'zd']
const deadlineMs = 1000
const bodyBytes = 800
/** Time in which the nodes find each other, in ms. */
const settleMs = 4000
/** Duration of the cut, and the time in which the node learns of it, in ms. */
const cutMs = 5000
const learnMs = 1000
const tryEveryMs = 10
/** Time for an answer, in ms. */
const workMs = 15
/** One in so many answers of a server in trouble breaks off. */
const brokenOneIn = 34

const config = {
  version: 1,
  routes: [
    { name: 'order', host, path_prefix: '/order/', route_kind: 'non_idempotent', service: 'desk', timeout_ms: deadlineMs, goal_ms: 193, priority: 2, attempts: 1 },
    { name: 'stock', host, path_prefix: '/stock/', route_kind: 'idempotent', service: 'desk', timeout_ms: deadlineMs, goal_ms: 193, priority: 2, attempts: 2 }
  ],
  services: [{ name: 'desk', max_conns: 110, health_path: '/healthz' }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

/** @returns a body that differs at each place */
const bodyOf = id => `answer to ${id} ${Array.from({ length: bodyBytes }, (_, index) => `${index}.`).join('')}`.slice(0, bodyBytes)

await runCase(import.meta.url, async ({ record, own, folder }) => {
  const store = await startStore(record)
  own(store.stop)
  store.write('keyed.op', 'config', config)
  const servers = []
  /** Ids of the requests whose answers broke off. */
  const brokenOff = new Set()
  for (const [index, zone] of ['za', 'zb', 'zc'].entries()) {
    let answers = 0
    const server = await startServer({
      id: `desk-${zone}`,
      service: 'desk',
      zone,
      slots: 6,
      store,
      respond ({ res, id }) {
        const { socket } = res
        // Two of the three servers are in trouble.
        const breaksOff = trouble && index < 2 && ++answers % brokenOneIn === 0
        const body = bodyOf(id)
        const sent = bodyBytes / 2
        setTimeout(() => {
          socket.write(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\nresponse-seal: seal.${id}\r\nconnection: close\r\n\r\n${body.slice(0, sent)}`)
          if (!breaksOff) return socket.end(body.slice(sent))
          brokenOff.add(id)
          record('server-reset', { id, server: `desk-${zone}`, sentBytes: sent })
          reset(socket)
        }, workMs)
      }
    })
    own(server.stop)
    servers.push(server)
  }
  /** Links of the node that is cut, by the address of the server. */
  const links = new Map()
  for (const { address } of servers) {
    const link = await startLink(address)
    own(link.stop)
    links.set(address, link)
  }
  const fleet = await startNodes({ zones, folder, record, storeAddressOf: ({ zone, name }) => store.addressFor(name, address => zone === zones[0] ? links.get(address).address : address) })
  own(fleet.stop)
  for (const server of servers) server.writeEntry()
  for (const node of fleet.nodes) {
    if (!await fleet.untilReady(node)) throw new Error(`${node.name} is not ready`)
  }
  await sleep(settleMs)
  const [first] = fleet.nodes
  const answers = []
  let ids = 0

  async function ask (node) {
    const isOrder = ids % 2 === 0
    const id = `${isOrder ? 'p' : 's'}${String(++ids).padStart(4, '0')}`
    const answer = await send({ port: node.ports.front, method: isOrder ? 'POST' : 'GET', path: isOrder ? '/order/a' : '/stock/a', deadlineMs, headers: { host, 'request-id': id } })
    answers.push({ id, ...answer })
    record('answered', { id, node: node.name, status: answer.status, complete: answer.complete, bytes: answer.body.length, head: answer.body.slice(0, 20), tail: answer.body.slice(-12), seal: answer.headers['response-seal'], error: answer.error })
  }

  if (trouble) {
    record('cut', { node: first.name })
    for (const link of links.values()) await link.cut()
  }
  const startedAt = performance.now()
  await sleep(learnMs)
  const running = []
  while (performance.now() - startedAt < cutMs) {
    running.push(ask(first))
    await sleep(tryEveryMs)
  }
  await Promise.all(running)
  if (trouble) {
    for (const link of links.values()) await link.heal()
    record('healed', { node: first.name })
  }
  const served = answers.filter(({ status, complete }) => status >= 200 && status < 300 && complete)
  record('judged', { answers: answers.length, served: served.length, brokenOff: brokenOff.size })
  if (served.length < answers.length / 2) throw new Error('most requests are not served')
  return served
    .filter(({ id, body }) => body !== bodyOf(id))
    .map(({ id, status, body }) => `${id}: ${status}, ended as complete after ${body.length} of ${bodyBytes} bytes${brokenOff.has(id) ? ', the server had reset its answer' : ''}`)
})
