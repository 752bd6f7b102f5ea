/** A client leaves its stream at a node whose links to all servers are cut, while the stream runs through another node and has no length. */
import { setTimeout as sleep } from 'node:timers/promises'
import { runCase, trouble } from '../stand-ins-2/case.mjs'
import { send } from '../stand-ins-2/client.mjs'
import { startLink } from '../stand-ins-2/link.mjs'
import { startNodes } from '../stand-ins-2/nodes.mjs'
import { eventsOf, startServer } from '../stand-ins-2/servers.mjs'
import { startStore } from '../stand-ins-2/store.mjs'

const host = 'quotes.example'
const model = 'base'
const zones = ['za', 'zb', 'zc', 'zd']
const eventCount = 73
const eventGapMs = 40
const streamDeadlineMs = 15_000
const readDeadlineMs = 1000
/** Time in which the nodes find each other, in ms. */
const settleMs = 4000
/** Duration of the cut, the time from its begin that the rule leaves out, and the time at which the client leaves, in ms. */
const cutMs = 10_000
const contactMs = 3000
const leaveAtMs = 2700
/** Time after which the client leaves its stream, in ms: half of its objective. */
const patienceMs = 400
/** Interval between two first tries at each node, in ms. */
const tryEveryMs = 125
/** TROUBLE=cut: the links are cut, and no client leaves. */
const nobodyLeaves = process.env.TROUBLE === 'cut'
/** Time after the heal for which the record shows what becomes of the process, in ms. */
const watchedMs = 25_000
/** Delay after which the platform starts a process that has ended, in ms. */
const restartMs = 500

const config = {
  version: 1,
  routes: [
    { name: 'fabric', host, path_prefix: '/fabric/', route_kind: 'streaming', service: 'drafts', timeout_ms: streamDeadlineMs, goal_ms: 800, gap_aim_ms: 600, priority: 0, attempts: 1, resumable: false, sticky: true },
    { name: 'stock', host, path_prefix: '/stock/', route_kind: 'idempotent', service: 'desk', timeout_ms: readDeadlineMs, goal_ms: 193, priority: 2, attempts: 2 }
  ],
  services: [
    { name: 'drafts', max_conns: 370, health_path: '/healthz', engine: { slots: 64, kv_capacity: 232_000, weights_mb: 75_000, adapter_slots: 8, loads_per_s: 2.8, models: [{ name: model, weights_mb: 72_700, load_s: 2.9, adapters: 3000, adapter_size_mb: 66 }] } },
    { name: 'desk', max_conns: 110, health_path: '/healthz' }
  ],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

await runCase(import.meta.url, async ({ record, own, folder }) => {
  const store = await startStore(record)
  own(store.stop)
  store.write('keyed.op', 'config', config)
  const servers = []
  for (const zone of ['za', 'zb', 'zc']) {
    const engine = {
      id: `model-${zone}`,
      service: 'drafts',
      slots: 64,
      models: [model],
      respond ({ res, id, sendWithConnection }) {
        sendWithConnection(res, { 'content-type': 'text/event-stream', 'request-id': id, 'response-seal': `seal.${id}`, 'weight-versions': '1' }, eventsOf(id, eventCount), eventGapMs, whole => record('server-ended', { id, whole }))
      }
    }
    const desk = {
      id: `desk-${zone}`,
      service: 'desk',
      slots: 6,
      respond ({ res, id }) {
        setTimeout(() => { res.writeHead(200, { 'request-id': id, 'response-seal': `seal.${id}` }).end(`stock ${id}`) }, 30)
      }
    }
    for (const options of [engine, desk]) {
      const server = await startServer({ ...options, zone, store })
      own(server.stop)
      servers.push(server)
    }
  }
  /** Links of each node, by the address of the server. */
  const links = new Map()
  const fleet = await startNodes({
    zones,
    folder,
    record,
    async storeAddressOf ({ name }) {
      const own = new Map()
      for (const { address } of servers) own.set(address, await startLink(address))
      links.set(name, own)
      return await store.addressFor(name, address => own.get(address).address)
    }
  })
  own(() => { for (const byServer of links.values()) for (const link of byServer.values()) link.stop() })
  own(fleet.stop)
  for (const server of servers) server.writeEntry()
  for (const node of fleet.nodes) {
    if (!await fleet.untilReady(node)) throw new Error(`${node.name} is not ready`)
  }
  await sleep(settleMs)
  const [first] = fleet.nodes
  const endsOfItsOwn = []
  const startedAt = performance.now()
  /** The platform starts a process again that has ended. */
  const watch = setInterval(() => {
    for (const node of fleet.nodes) {
      if (fleet.isRunning(node) || node.restarting) continue
      node.restarting = true
      endsOfItsOwn.push(node.name)
      setTimeout(() => {
        fleet.start(node)
        node.restarting = false
      }, restartMs)
    }
  }, 50)
  own(() => { clearInterval(watch) })

  if (trouble) {
    record('cut', { node: first.name })
    for (const link of links.get(first.name).values()) await link.cut()
  }
  const leaving = (async () => {
    if (nobodyLeaves) return
    await sleep(leaveAtMs - patienceMs)
    const id = 'f0001'
    record('sent', { id, node: first.name, kind: 'stream' })
    const answer = await send({ port: first.ports.front, path: '/fabric/a', deadlineMs: streamDeadlineMs, leaveAfterMs: patienceMs, headers: { host, 'request-id': id, model, 'token-usage': '800,300', 'prompt-prefix': `aa:198,${id}:602` } })
    record('left', { id, pieces: (answer.body.match(/^id: \d+$/gm) ?? []).length })
  })()
  const tries = []
  let ids = 0
  async function tryAt (node) {
    const id = `s${String(++ids).padStart(4, '0')}`
    const atMs = performance.now() - startedAt
    const { status, complete, body, error } = await send({ port: node.ports.front, method: 'GET', path: '/stock/a', deadlineMs: readDeadlineMs, headers: { host, 'request-id': id } })
    const served = status === 200 && complete && body === `stock ${id}`
    tries.push({ node: node.name, atMs, served })
    record('tried', { id, node: node.name, atMs: Math.round(atMs), status, error })
  }
  const running = []
  while (performance.now() - startedAt < cutMs) {
    for (const node of fleet.nodes) running.push(tryAt(node))
    await sleep(tryEveryMs)
  }
  if (trouble) {
    for (const link of links.get(first.name).values()) await link.heal()
    record('healed', { node: first.name })
  }
  await Promise.all([leaving, ...running])

  const judged = tries.filter(({ atMs }) => atMs >= contactMs)
  const share = items => items.filter(({ served }) => served).length / items.length
  const there = judged.filter(({ node }) => node === first.name)
  const others = judged.filter(({ node }) => node !== first.name)
  const failed = there.filter(({ served }) => !served).length
  const found = `${failed} of ${there.length} first tries failed at the cut node, ${others.filter(({ served }) => !served).length} of ${others.length} at the others`
  const isBroken = share(there) < share(others) * 2 / 3 && failed > 10 + judged.length / 50
  record('judged', { found, isBroken })
  const watchedUntil = performance.now() + (isBroken ? watchedMs : 0)
  while (endsOfItsOwn.length === 0 && performance.now() < watchedUntil) await sleep(100)
  return isBroken ? [`${found}; processes that ended by themselves: ${endsOfItsOwn.join(', ') || 'none'}`] : []
})
