/** A server that does not announce its leaving leaves, and the store carries out one of its earlier entries late. */
import { fileURLToPath } from 'node:url'
import { runCase, sleep, until } from '../lib/case.mjs'
import { createDirectory, isReady, newRequestId, send } from '../lib/client.mjs'
import { configuration, host, orderDeadlineMs, orderPath, plainService } from '../lib/deployment.mjs'
import { bounds, createFleet, loopbackPrefix } from '../lib/nodes.mjs'
import { startPlainServer } from '../lib/plain-server.mjs'
import { startStore } from '../lib/store.mjs'

/** With TROUBLE=0 the script does the same without the disruption. */
const trouble = process.env.TROUBLE !== '0'

const zone = 'zone-a'
const nodeCount = 3
const serverCount = 3
const clientCount = 12
const requestGapMs = 50
/** The store loses answers and carries out writes late for this long, at most; here it hits one entry near the end. */
const lostMs = 4500
const lateMs = 4900
/** From the end of that until the server leaves: longer than the time after which the store counts as stable. */
const stableMs = bounds.contact_ms + 400
/** A server without heartbeats loses its entry after three of them. */
const silentMs = 3600
/** The server goes on serving for this long after it has left: `drain_ms` and some seconds. */
const servesMs = 6500

await runCase(fileURLToPath(new URL('.', import.meta.url)), trouble, 60_000, async ({ record, onEnd }) => {
  const prefix = loopbackPrefix()
  const store = await startStore(`${prefix}.200`)
  onEnd(store.stop)
  store.write('keyed.op', 'config', configuration())
  let leftAt = Infinity
  const servers = []
  const sentAt = new Map()
  const late = []
  const serverRecord = (event, fields) => {
    record(event, fields)
    if (event !== 'run' || fields.server !== servers[0]?.id) return
    const at = sentAt.get(fields.request)
    if (performance.now() > leftAt + bounds.drain_ms) late.push({ request: fields.request, sentMs: at - leftAt, ranMs: performance.now() - leftAt })
  }
  for (let index = 0; index < serverCount; index++) {
    servers.push(await startPlainServer({ id: `i-${newRequestId()}`, host: `${prefix}.${210 + index}`, zone, service: plainService, slots: 12, workMs: 40, store, record: serverRecord }))
    onEnd(servers.at(-1).stop)
  }
  const leaving = servers[0]
  const fleet = await createFleet({ prefix, storeAddress: store.addressFor, record })
  onEnd(fleet.stop)
  for (let index = 1; index <= nodeCount; index++) await fleet.add(`edge-${index}`, zone, index === 1 ? undefined : [fleet.controlOf('edge-1')])
  await until(async () => (await Promise.all(fleet.running().map(isReady))).every(ready => ready), 10_000, 'nodes are ready')
  await sleep(2000)

  let served = 0
  const clients = Array.from({ length: clientCount }, () => createDirectory(fleet.running, host, zone))
  const sendOne = async () => {
    const addresses = await clients[Math.floor(Math.random() * clientCount)].addresses()
    if (addresses.length === 0) return
    const address = addresses[Math.floor(Math.random() * addresses.length)]
    const answer = await send(address, { host, path: `${orderPath}x`, body: 'order', deadlineMs: orderDeadlineMs }, (event, fields) => {
      if (event === 'sent') sentAt.set(fields.request, performance.now())
      record(event, fields)
    })
    if (answer.status === 200) served += 1
  }
  const traffic = setInterval(sendOne, requestGapMs)
  onEnd(() => clearInterval(traffic))
  // Several heartbeats, as of a server that has run for a while.
  await sleep(8000)

  record('store-loses-answers', { on: trouble })
  await sleep(lostMs - 100)
  if (trouble) leaving.beatLate(lateMs)
  await sleep(100)
  record('store-loses-answers', { on: false })
  await sleep(stableMs)
  leaving.stopBeats()
  store.write('keyed.servers', leaving.id, undefined)
  leftAt = performance.now()
  record('server-left', { server: leaving.id })
  await sleep(servesMs)
  leaving.stop()
  record('server-ended', { server: leaving.id })
  if (trouble) {
    await sleep(Math.max(0, lateMs - stableMs + silentMs - servesMs))
    store.write('keyed.servers', leaving.id, undefined)
  }
  clearInterval(traffic)
  await sleep(1000)
  for (const { name } of fleet.running()) {
    for (const event of ['server-changed', 'server-entry-ignored']) {
      for (const line of fleet.logged(name, event)) if (line.includes(leaving.id)) record('node-logged', JSON.parse(line))
    }
  }
  if (served < 200) throw new Error(`only ${served} requests were served`)
  const counted = late.filter(({ sentMs }) => sentMs > 0)
  return { broken: counted.length > 0, text: `${counted.length} requests ran at a server later than drain_ms after it was gone, the last ${Math.round(counted.at(-1)?.ranMs ?? 0)} ms after it; ${served} requests were served` }
})
