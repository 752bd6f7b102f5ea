/** Extrapolates the measured slopes to the target size and compares the results with the target's bounds. */
import { claimShardCount } from '@yuccawharf/coordination'
import type { Fit } from './fit'
import { secondsPerDay, target } from './target'

export type Slopes = {
  listBytes: Fit
  engineBytes: Fit
  /** Bytes per second of polling one log stream without new records. */
  logStreamBytes: number
  idleMicros: Fit
  processBytes: Fit
  membershipBytes: Fit
  membershipStartBytes: Fit
  membershipMicros: Fit
  membershipHeap: Fit
  configMicros: Fit
  configHeap: Fit
  configSnapshotBytes: Fit
  configRecordBytes: number
  ownershipMicros: Fit
  ownershipHeap: Fit
  ownershipRecordBytes: number
  claimMicros: Fit
  claimHeap: Fit
  claimRecordBytes: number
  recordsPerAppend: number
  permitMicros: Fit
  permitHeap: Fit
  routeMicros: Fit
  routeHeap: Fit
  schedulerMicros: Fit
  schedulerHeap: Fit
}

/** Configuration snapshots per day: retention is one day, and a snapshot is written in each half of it. */
const snapshotsPerDay = 2
/** JSON added to a record in a read: offset, time and separators. */
const readOverheadBytes = 40
/** Log records per eviction, an intent and a confirmation, on engines that ignore fencing tokens. */
const recordsPerEviction = 2
/** Requests that one owner has queued at the peak: the admission bound of 1.2 s of its share of requests. */
const queuedPerNode = Math.ceil(target.requestsPerSecond / target.nodes * 1.2)
/** Log records per order: the claim and its outcome. */
const recordsPerOrder = 2
/** Fraction of the log's appends that is available to orders. */
const orderAppendShare = 0.5
const storedOrders = 10_000

type ValueAt = (fit: Fit, x: number) => number

const percent = (fraction: number): string => `${(fraction * 100).toFixed(2)} %`
const megabytes = (bytes: number): string => `${(bytes / 1024 / 1024).toFixed(1)} MB`
const perSecond = (bytes: number): string => `${bytes.toFixed(0)} B/s`
const verdict = (value: number, bound: number): string => value <= bound ? 'yes' : `no, by a factor of ${(value / bound).toFixed(1)}`

/** Adapters that become active per second; each needs a load, and in a full engine an eviction. */
export const activationsPerSecond = target.adapters * target.adapterTurnoverPerHour / 2 / 3_600

/** Owner records per second: each failure or replacement of a node moves its engines, and each takeover adds a confirmation. */
const ownerRecordsPerSecond = (target.failuresPerDay + target.replacementsPerDay) * (target.engines / target.nodes) * 2 / secondsPerDay

function logReadBytes (slopes: Slopes, valueAt: ValueAt): { config: number, ownership: number } {
  const snapshots = valueAt(slopes.configSnapshotBytes, target.adapters) * snapshotsPerDay
  const changes = target.configChangesPerDay * (slopes.configRecordBytes + readOverheadBytes)
  const ownershipRecords = ownerRecordsPerSecond + activationsPerSecond * recordsPerEviction
  return {
    config: (snapshots + changes) / secondsPerDay,
    ownership: ownershipRecords * (slopes.ownershipRecordBytes + readOverheadBytes)
  }
}

/** Bytes per second of a node's requests to the platform while nothing changes. */
function platformBytes (slopes: Slopes, valueAt: ValueAt): { list: number, log: number, engines: number } {
  return {
    list: valueAt(slopes.listBytes, target.nodes + target.engines),
    log: slopes.logStreamBytes * (2 + claimShardCount / target.nodes),
    engines: valueAt(slopes.engineBytes, target.engines / target.nodes)
  }
}

function controlMicros (slopes: Slopes, valueAt: ValueAt): number {
  const requestsPerNode = target.requestsPerSecond / target.nodes
  return valueAt(slopes.idleMicros, target.engines / target.nodes) + valueAt(slopes.membershipMicros, target.nodes) +
    requestsPerNode * (valueAt(slopes.routeMicros, target.engines) + valueAt(slopes.schedulerMicros, queuedPerNode)) +
    (ownerRecordsPerSecond + activationsPerSecond * recordsPerEviction) * valueAt(slopes.ownershipMicros, target.engines) +
    target.configChangesPerDay / secondsPerDay * valueAt(slopes.configMicros, target.adapters)
}

function controlHeap (slopes: Slopes, valueAt: ValueAt): number {
  return valueAt(slopes.processBytes, target.nodes + target.engines) + valueAt(slopes.membershipHeap, target.nodes) + valueAt(slopes.configHeap, target.adapters) +
    valueAt(slopes.ownershipHeap, target.engines) + valueAt(slopes.routeHeap, target.engines) +
    2 * valueAt(slopes.schedulerHeap, queuedPerNode) + valueAt(slopes.permitHeap, target.engines) + valueAt(slopes.claimHeap, storedOrders)
}

/** @returns rows of requirement, value, bound, verdict and derivation */
export function controlRows (slopes: Slopes, valueAt: ValueAt): string[][] {
  const { control } = target
  const read = logReadBytes(slopes, valueAt)
  const membership = valueAt(slopes.membershipBytes, target.nodes)
  const polls = platformBytes(slopes, valueAt)
  const otherBytes = read.config + read.ownership + polls.list + polls.log + polls.engines
  const bytes = membership + otherBytes
  const startBytes = valueAt(slopes.membershipStartBytes, target.nodes) + otherBytes
  const coreFraction = controlMicros(slopes, valueAt) / 1e6
  const heap = controlHeap(slopes, valueAt)
  const controlAppends = ownerRecordsPerSecond + activationsPerSecond * recordsPerEviction + target.configChangesPerDay / secondsPerDay
  const ordersPerSecond = target.logAppendsPerSecond * orderAppendShare * slopes.recordsPerAppend / recordsPerOrder
  const permitCore = activationsPerSecond * valueAt(slopes.permitMicros, target.engines) / 1e6
  return [
    ['control processor time per node', percent(coreFraction), percent(control.coreFraction), verdict(coreFraction, control.coreFraction), 'idle node process, membership, routing and scheduling of its share of requests, both reducers'],
    ['control memory per node', megabytes(heap), megabytes(control.memoryBytes), verdict(heap, control.memoryBytes), `idle process, and the state of all roles in one node, ${storedOrders} orders stored`],
    ['control bytes per node, steady', perSecond(bytes), perSecond(control.bytesPerSecond), verdict(bytes, control.bytesPerSecond), `membership ${membership.toFixed(0)}, config ${read.config.toFixed(0)}, ownership ${read.ownership.toFixed(0)}, instance list ${polls.list.toFixed(0)}, reads of the log without records ${polls.log.toFixed(0)}, engine reports ${polls.engines.toFixed(0)}`],
    ['control bytes per node, all nodes starting at once', perSecond(startBytes), perSecond(control.bytesPerSecond), verdict(startBytes, control.bytesPerSecond), 'the size bound of a datagram limits gossip'],
    ['appends per second for control', controlAppends.toFixed(2), String(target.logAppendsPerSecond), verdict(controlAppends, target.logAppendsPerSecond), `${ownerRecordsPerSecond.toFixed(3)} owner records, ${(activationsPerSecond * recordsPerEviction).toFixed(2)} eviction records, ${(target.configChangesPerDay / secondsPerDay).toFixed(3)} changes`],
    ['orders per second with half of the appends', ordersPerSecond.toFixed(0), 'none stated', '-', `${slopes.recordsPerAppend.toFixed(1)} records an append, ${recordsPerOrder} records an order`],
    ['processor time of the permit issuer', percent(permitCore), percent(control.coreFraction), verdict(permitCore, control.coreFraction), `${activationsPerSecond.toFixed(2)} loads a second`]
  ]
}
