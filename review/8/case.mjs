/** A node that passes requests on for another one is killed while a stream without a length runs through it. */
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
const eventCount = 40
const eventGapMs = 60
const deadlineMs = 15_000
const streams = 3
/** Time in which the nodes find each other, and in which a node learns that its links are cut, in ms. */
const settleMs = 4000
const cutMs = 2000

const config = {
  version: 1,
  routes: [{ name: 'fabric', host, path_prefix: '/fabric/', route_kind: 'streaming', service: 'drafts', timeout_ms: deadlineMs, goal_ms: 800, gap_aim_ms: 600, priority: 0, attempts: 1, resumable: false, sticky: true }],
  services: [{ name: 'drafts', max_conns: 370, health_path: '/healthz', engine: { slots: 64, kv_capacity: 232_000, weights_mb: 75_000, adapter_slots: 8, loads_per_s: 2.8, models: [{ name: model, weights_mb: 72_700, load_s: 2.9, adapters: 3000, adapter_size_mb: 66 }] } }],
  limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
}

await runCase(import.meta.url, async ({ record, own, folder }) => {
  const store = await startStore(record)
  own(store.stop)
  store.write('keyed.op', 'config', config)
  const servers = []
  for (const zone of zones) {
    const server = await startServer({
      id: `model-${zone}`,
      service: 'drafts',
      zone,
      slots: 64,
      models: [model],
      store,
      record,
      respond ({ res, id, sendWithConnection }) {
        sendWithConnection(res, { 'content-type': 'text/event-stream', 'request-id': id, 'response-seal': `seal.${id}`, 'weight-versions': '1' }, eventsOf(id, eventCount), eventGapMs, whole => record('server-ended', { id, whole }))
      }
    })
    own(server.stop)
    servers.push(server)
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
  const [first, ...others] = fleet.nodes
  let ids = 0

  async function stream (progress) {
    const id = `f${String(++ids).padStart(4, '0')}`
    record('sent', { id, node: first.name })
    const answer = await send({ port: first.ports.front, path: '/fabric/a', deadlineMs, progress: text => progress?.(id, text), headers: { host, 'request-id': id, model, 'token-usage': '800,300', 'prompt-prefix': `aa:198,${id}:602` } })
    const pieces = (answer.body.match(/^id: \d+$/gm) ?? []).length
    record('answered', { id, status: answer.status, complete: answer.complete, pieces, seal: answer.headers['response-seal'], error: answer.error })
    return { id, ...answer, pieces }
  }

  const warm = await stream()
  if (warm.status !== 200 || !warm.complete || warm.pieces !== eventCount) throw new Error('a stream in calm is not served')
  if (trouble) {
    record('cut', { node: first.name })
    for (const link of links.get(first.name).values()) await link.cut()
    await sleep(cutMs)
  }
  let killed = false
  const running = Array.from({ length: streams }, () => stream((id, text) => {
    if (!trouble || killed || !text.includes('id: 5\n')) return
    killed = true
    const relay = others.find(({ name }) => [...links.get(name).values()].some(link => link.open() > 0))
    if (relay !== undefined) fleet.kill(relay)
  }))
  const answers = await Promise.all(running)
  return answers
    .filter(({ status, complete, body, id }) => status >= 200 && status < 300 && complete && body !== eventsOf(id, eventCount).join(''))
    .map(({ id, status, pieces }) => `${id}: ${status}, ended as complete after ${pieces} of ${eventCount} pieces`)
})
