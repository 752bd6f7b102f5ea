/**
 * `npm run capacity`: measures the cost of each role at several sizes, fits a line through the results
 * of each quantity, and prints the lines and their values at the target size as Markdown.
 */
import { claimShardCount } from '@yuccawharf/coordination'
import { fitLine, valueAt, type Fit } from './fit'
import { measureMembership } from './membership-load'
import { measureNodeTraffic } from './node-traffic'
import { controlRows, type Slopes } from './report'
import { measureClaims, measureConfig, measureOwnership, measurePermits, measureRouter, measureScheduler, type RoleCost } from './role-load'
import { markdownTable } from './table'

const membershipSeconds = 30
const membershipWarmUpSeconds = 240
const routedAdapters = 1_000
/** Log streams that a single node polls: config, ownership and all claims shards. */
const singleNodeStreams = 2 + claimShardCount

type MeasuredFit = { role: string, quantity: string, unit: string, sizes: string, fit: Fit }

const rows: MeasuredFit[] = []

function addFit (role: string, quantity: string, unit: string, variable: string, points: { x: number, y: number }[]): Fit {
  const fit = fitLine(points)
  rows.push({ role, quantity, unit, sizes: `${variable}: ${points.map(({ x }) => x).join(', ')}`, fit })
  return fit
}

const microsPoints = (costs: RoleCost[]): { x: number, y: number }[] => costs.map(({ size, micros }) => ({ x: size, y: micros }))
const heapPoints = (costs: RoleCost[]): { x: number, y: number }[] => costs.map(({ size, heapBytes }) => ({ x: size, y: heapBytes }))

async function measureAll (): Promise<Slopes> {
  const trafficByInstances = []
  for (const instances of [100, 400, 1_000]) trafficByInstances.push(await measureNodeTraffic(instances, 1))
  const trafficByEngines = [trafficByInstances.at(-1)!]
  for (const engines of [2, 3]) trafficByEngines.push(await measureNodeTraffic(1_000, engines))
  const membership = [100, 200, 400].map(nodes => measureMembership(nodes, membershipSeconds, membershipWarmUpSeconds))
  const config = [2_000, 8_000, 19_000].map(measureConfig)
  const ownership = [150, 300, 600].map(measureOwnership)
  const claims = [4_000, 8_000, 16_000, 32_000].map(measureClaims)
  const permits = [150, 300, 600].map(measurePermits)
  const router = [75, 150, 300, 600].map(engines => measureRouter(engines, routedAdapters))
  const scheduler = [100, 400, 1_600].map(measureScheduler)
  return {
    listBytes: addFit('entry', 'instance list, unchanged', 'bytes/s', 'instances', trafficByInstances.map(({ instances, listBytes }) => ({ x: instances, y: listBytes }))),
    engineBytes: addFit('engine owner', 'reports of engines with 32 full slots', 'bytes/s', 'engines', trafficByEngines.map(({ engines, engineBytes }) => ({ x: engines, y: engineBytes }))),
    logStreamBytes: trafficByEngines[0]!.logBytes / singleNodeStreams,
    idleMicros: addFit('node process', 'processor time when idle', 'µs/s', 'engines', trafficByEngines.map(({ engines, micros }) => ({ x: engines, y: micros }))),
    processBytes: addFit('node process', 'resident memory', 'bytes', 'instances', trafficByInstances.map(({ instances, residentBytes }) => ({ x: instances, y: residentBytes }))),
    membershipBytes: addFit('membership', 'datagrams sent and received, steady', 'bytes/s', 'nodes', membership.map(({ nodes, bytesPerSecond }) => ({ x: nodes, y: bytesPerSecond }))),
    membershipStartBytes: addFit('membership', 'datagrams while all nodes start at once', 'bytes/s', 'nodes', membership.map(({ nodes, startBytesPerSecond }) => ({ x: nodes, y: startBytesPerSecond }))),
    membershipMicros: addFit('membership', 'processor time', 'µs/s', 'nodes', membership.map(({ nodes, microsPerSecond }) => ({ x: nodes, y: microsPerSecond }))),
    membershipHeap: addFit('membership', 'heap', 'bytes', 'nodes', membership.map(({ nodes, heapBytes }) => ({ x: nodes, y: heapBytes }))),
    configMicros: addFit('config reducer', 'processor time of a change', 'µs', 'adapters', microsPoints(config)),
    configHeap: addFit('config reducer', 'heap', 'bytes', 'adapters', heapPoints(config)),
    configSnapshotBytes: addFit('config reducer', 'snapshot in the log', 'bytes', 'adapters', config.map(({ size, snapshotBytes }) => ({ x: size, y: snapshotBytes }))),
    configRecordBytes: config.at(-1)!.recordBytes!,
    ownershipMicros: addFit('ownership reducer', 'processor time of a record', 'µs', 'engines', microsPoints(ownership)),
    ownershipHeap: addFit('ownership reducer', 'heap', 'bytes', 'engines', heapPoints(ownership)),
    ownershipRecordBytes: ownership.at(-1)!.recordBytes!,
    claimMicros: addFit('claim shard owner', 'processor time of an order', 'µs', 'orders stored', microsPoints(claims)),
    claimHeap: addFit('claim shard owner', 'heap', 'bytes', 'orders stored', heapPoints(claims)),
    claimRecordBytes: claims.at(-1)!.recordBytes!,
    recordsPerAppend: claims.at(-1)!.recordsPerAppend,
    permitMicros: addFit('permit issuer', 'processor time of a permit', 'µs', 'waiting engines', microsPoints(permits)),
    permitHeap: addFit('permit issuer', 'heap', 'bytes', 'waiting engines', heapPoints(permits)),
    routeMicros: addFit('entry, address response', 'processor time of a routing decision', 'µs', 'engines', microsPoints(router)),
    routeHeap: addFit('entry, address response', `heap with ${routedAdapters} adapters seen`, 'bytes', 'engines', heapPoints(router)),
    schedulerMicros: addFit('engine owner', 'processor time of a request', 'µs', 'queued requests', microsPoints(scheduler)),
    schedulerHeap: addFit('engine owner', 'heap', 'bytes', 'queued requests', heapPoints(scheduler))
  }
}

const digits = (value: number): string => Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3)

const slopes = await measureAll()
console.log('### Measured slopes\n')
console.log(markdownTable(
  ['role', 'quantity', 'unit', 'measured at', 'fixed part', 'slope', 'residual'],
  rows.map(({ role, quantity, unit, sizes, fit }) => [role, quantity, unit, sizes, digits(fit.intercept), digits(fit.slope), `${(fit.residual * 100).toFixed(1)} %`])
))
console.log('\n### At the target size\n')
console.log(markdownTable(['requirement', 'computed', 'bound', 'met', 'derivation'], controlRows(slopes, valueAt)))
