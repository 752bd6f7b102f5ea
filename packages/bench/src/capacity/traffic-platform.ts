/**
 * Child process of the traffic measurement: the platform's stand-ins behind counting relays, so
 * that the processor time of the measuring process is that of the node alone. Sends its addresses
 * once, then its counts in response to each message.
 */
import { createEngineModel, createInstanceListModel, createLogModel, createRealClock, createWeightStoreModel, serveEngine, serveInstanceList, serveLog, serveWeightStore, type StandInServer } from '@yuccawharf/stand-ins'
import { createCountingRelay, type CountingRelay } from './counting-relay'

export type PlatformReady = { log: string, instances: string, weightStore: string }
export type PlatformCounts = { list: number, log: number, engines: number }

export const trafficRegion = 'measured'
const slots = 32
const batchSize = 64

const [instances = 0, engines = 0] = process.argv.slice(2).map(Number)
const clock = createRealClock()
const weights = createWeightStoreModel({ clock, fetchMs: 1 })
const list = createInstanceListModel({ clock })

async function createRelay (starting: Promise<StandInServer>): Promise<CountingRelay> {
  return await createCountingRelay((await starting).address)
}

async function startEngine (index: number): Promise<CountingRelay> {
  const model = createEngineModel({ clock, weights, engine: `engine-${index}`, baseModel: 'base', slots, batchSize, checksFencing: true, reportLagMs: 200, seed: index + 1 })
  for (let slot = 0; slot < slots; slot++) {
    model.command({ type: 'load', handle: `customer-${slot}@2026-12~0.${slot}`, adapter: `customer-${slot}`, version: '2026-12' }, 0, () => {})
  }
  const relay = await createRelay(serveEngine(model))
  list.put({ id: `engine-${index}`, kind: 'engine', address: relay.address, zone: 'zone-a', region: trafficRegion, group: 'engines', state: 'live' })
  return relay
}

/** Fills the list with instances of another region, which the node neither owns nor probes. */
function fillList (): void {
  for (let index = engines; index < instances; index++) {
    list.put({ id: `service-${index}`, kind: 'service', address: `10.0.${index >> 8}.${index & 255}:8000`, zone: `zone-${index % 5}`, region: 'other', group: 'order-desk', state: 'live' })
  }
}

if (process.send !== undefined) {
  const logRelay = await createRelay(serveLog(createLogModel({ clock })))
  const listRelay = await createRelay(serveInstanceList(list))
  const weightStore = await serveWeightStore(weights)
  const engineRelays: CountingRelay[] = []
  for (let index = 0; index < engines; index++) engineRelays.push(await startEngine(index))
  fillList()
  const counts = (): PlatformCounts => ({
    list: listRelay.bytes(),
    log: logRelay.bytes(),
    engines: engineRelays.reduce((sum, relay) => sum + relay.bytes(), 0)
  })
  process.on('message', () => process.send?.(counts()))
  process.on('disconnect', () => process.exit(0))
  const ready: PlatformReady = { log: logRelay.address, instances: listRelay.address, weightStore: weightStore.url }
  process.send(ready)
}
