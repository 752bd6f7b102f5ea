/** The node that gives orders to engines is frozen while another one takes over, and the store turns it away when it wakes. */
import { fileURLToPath } from 'node:url'
import { runCase, sleep, until } from '../lib/case.mjs'
import { createDirectory, isReady, newRequestId, send } from '../lib/client.mjs'
import { configuration, draftDeadlineMs, draftHeaders, draftPath, engineService, host, model } from '../lib/deployment.mjs'
import { startEngine } from '../lib/engine.mjs'
import { bounds, createFleet, loopbackPrefix } from '../lib/nodes.mjs'
import { startStore } from '../lib/store.mjs'

/** With TROUBLE=0 the script does the same without the disruption. */
const trouble = process.env.TROUBLE !== '0'

const zones = ['zone-a', 'zone-b']
const nodesPerZone = 2
const enginesPerZone = 2
const clientsPerZone = 12
/** More adapters than the engines have places for, so that the owners give orders all the time. */
const adapterCount = 60
const requestGapMs = 25
const frozenMs = 7800
/** From the first answer that the store refuses to the machine until it serves it again. */
const turnedAwayMs = 9000

/** @returns the first order that breaks the rule, judged without those that the rule excuses */
function firstBreak (orders, thawedAt, frozen) {
  const highest = new Map()
  for (const order of orders) {
    const { server, holder, fence, at } = order
    if (holder === frozen && at >= thawedAt && at <= thawedAt + bounds.thaw_ms) continue
    const before = highest.get(server)
    if (before !== undefined && fence < before.fence) return { before, order }
    if (before !== undefined && fence === before.fence && holder !== before.holder) return { before, order }
    highest.set(server, order)
  }
  return undefined
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), trouble, 100_000, async ({ record, onEnd }) => {
  const prefix = loopbackPrefix()
  const store = await startStore(`${prefix}.200`)
  onEnd(store.stop)
  store.write('keyed.op', 'config', configuration())
  const orders = []
  const engineRecord = (event, fields) => {
    if (event === 'order') orders.push({ ...fields, at: performance.now() })
    record(event, fields)
  }
  for (const [zoneIndex, zone] of zones.entries()) {
    for (let index = 0; index < enginesPerZone; index++) {
      const engine = await startEngine({ id: `i-${newRequestId()}`, host: `${prefix}.${210 + 10 * zoneIndex + index}`, zone, service: engineService, model, slots: 64, adapterSlots: 8, store, record: engineRecord })
      onEnd(engine.stop)
    }
  }
  const fleet = await createFleet({ prefix, storeAddress: store.addressFor, record })
  onEnd(fleet.stop)
  for (const zone of zones) {
    for (let index = 1; index <= nodesPerZone; index++) await fleet.add(`edge-${zone}-${index}`, zone, fleet.nodes.size === 0 ? undefined : [fleet.controlOf('edge-zone-a-1')])
  }
  await until(async () => (await Promise.all(fleet.running().map(isReady))).every(ready => ready), 10_000, 'nodes are ready')
  await sleep(2000)

  let answered = 0
  let served = 0
  const clients = zones.flatMap(zone => Array.from({ length: clientsPerZone }, () => createDirectory(fleet.running, host, zone)))
  const sendOne = async () => {
    const client = clients[Math.floor(Math.random() * clients.length)]
    const addresses = await client.addresses()
    if (addresses.length === 0) return
    const address = addresses[Math.floor(Math.random() * addresses.length)]
    const answer = await send(address, { host, path: `${draftPath}x`, headers: draftHeaders(`a${1 + Math.floor(Math.random() * adapterCount)}`), body: 'brief', deadlineMs: draftDeadlineMs }, record)
    answered += 1
    if (answer.status === 200) served += 1
  }
  const traffic = setInterval(sendOne, requestGapMs)
  onEnd(() => clearInterval(traffic))
  await sleep(8000)

  const frozen = orders.at(-1)?.holder
  if (frozen === undefined) throw new Error('no order was given')
  if (trouble) fleet.signal(frozen, 'SIGSTOP')
  await sleep(frozenMs - 100)
  if (trouble) store.turnAway(frozen, true)
  record('turned-away', { node: frozen, on: trouble })
  await sleep(100)
  const thawedAt = performance.now()
  if (trouble) fleet.signal(frozen, 'SIGCONT')
  await sleep(turnedAwayMs - 100)
  store.turnAway(frozen, false)
  record('turned-away', { node: frozen, on: false })
  await sleep(4000)
  clearInterval(traffic)
  if (served < 100) throw new Error(`only ${served} of ${answered} requests were served`)
  const found = firstBreak(orders, thawedAt, trouble ? frozen : undefined)
  if (found === undefined) return { broken: false, text: `${orders.length} orders kept the rule, ${served} of ${answered} requests were served` }
  const { before, order } = found
  for (const line of fleet.logged(frozen, 'engine-command').slice(-8)) record('node-logged', JSON.parse(line))
  return { broken: true, text: `order of ${order.holder} with fence ${order.fence} ${Math.round(order.at - thawedAt)} ms after ${frozen} woke, ${Math.round(order.at - before.at)} ms after an order of ${before.holder} with fence ${before.fence} to the same engine` }
})
