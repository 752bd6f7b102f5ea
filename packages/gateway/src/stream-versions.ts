/**
 * Finds the software version at which a stream began that a client takes up: what two versions write does
 * not fit together, and servers do not check it. A stream whose version is not known does not go on.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { BackendServer, Route } from './cluster-types'
import type { DecisionLog } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'
import type { FeedRecord, FleetLog, FleetRecord, RequestMetadata, StreamLog, UnreadableRecord } from './platform-interface'
import { createSoftwareVersions, serviceVersionsKey, softwareVersionOf, type VersionsRecord } from './software-versions'
import { createStreamOrigins, type StreamOrigin } from './stream-origins'
import { createStreamRecords } from './stream-records'

export type StreamVersionsOptions = {
  /** Name and incarnation of this node. */
  self: { name: string, incarnation: number }
  fleetLog: Pick<FleetLog, 'append'>
  streamLog: StreamLog
  log: DecisionLog
  metrics: Pick<GatewayMetrics, 'takeUp'>
  now (): number
  /** Time of day, Unix ms. */
  wallClock (): number
  /** Names of the nodes that are not dead, this one included. */
  nodes (): string[]
  /** Whether the fleet log, or a peer's copy of it, has been read. */
  fleetLogRead (): boolean
  /** Whether peers use servers of which this node has read no entry, so that it may lack a version. */
  lacksServers (): boolean
  /** Age of the newest read of the servers' entries by this node, in ms; Infinity if none counts. */
  entriesAgeMs (): number
  /** Reads the servers' entries now. */
  readEntries (): void
  /** Whether this node hears the other owners of engines, so that it learns from them of engines whose entries it cannot read. */
  hearsOwners (): boolean
  /** Calls back after a time, in ms. */
  after (delayMs: number, callback: () => void): void
}

/** A request of a client, as far as it may take up a stream. */
export type StreamRequest = { metadata: RequestMetadata, route: Pick<Route, 'kind' | 'resumable'>, service: string, digest: string }

/** `version` is undefined for a stream that begins with the request. */
export type RequiredVersion = { known: true, version: string | undefined } | { known: false, reason: string }

/** One stream of this node, from its first event. */
export type StreamProgress = {
  /** The first event that this node sends of the stream comes from the server. */
  began (server: BackendServer): void
  ended (complete: boolean): void
}

export type StreamVersions = {
  /** @returns the only software version at which the request may run */
  required (req: StreamRequest): Promise<RequiredVersion>
  progress (req: StreamRequest): StreamProgress
  /** @param servers - all known servers, draining ones included */
  observe (servers: readonly BackendServer[]): void
  apply (records: readonly FeedRecord<FleetRecord | UnreadableRecord>[]): void
  /** The fleet log was read anew; records that are not among those applied next do not exist. */
  recordsReplaced (): void
  /** Updates the records of the fleet log; called every few tens or hundreds of ms. */
  tick (): void
}

/** Delay of each further node before it writes a record that the nodes before it have not written, in ms. */
const writerDelayMs = 500
/** Time after which a write without effect is repeated, in ms. */
const rewriteDelayMs = 2000
/** Interval at which a request checks whether the fleet log has been read, and the longest time for which it waits, in ms. */
const fleetLogCheckMs = 25
const fleetLogWaitMs = 1500
/**
 * Age of the servers' entries up to which their versions count as all there are, in ms: less than a new server needs
 * until its first stream has begun, broken off and been taken up.
 */
const entriesValidMs = 300
/** Interval at which a request checks whether they have been read again, the time after which they are read once more, and the longest wait, in ms. */
const entriesCheckMs = 10
const entriesRetryMs = 250
const entriesWaitMs = 600
/** Longest id that a client can name. */
const maxIdLength = 256

type VersionSource = 'own' | 'only-version' | 'record'

export function createStreamVersions (options: StreamVersionsOptions): StreamVersions {
  const { self, log, metrics, now } = options
  const versions = createSoftwareVersions()
  const origins = createStreamOrigins()
  /** Services whose streams are recorded. */
  const mixed = new Set<string>()
  /** Records that are to be written, with the time since when and of the last write. */
  const due = new Map<string, { since: number, writtenAt: number }>()
  const records = createStreamRecords({
    ...options,
    key: `${self.name}/${self.incarnation}`,
    fleetSize: () => options.nodes().length,
    streams: () => origins.current(now()).filter(({ service }) => versions.isMixed(service, now()))
  })

  function isTakenUp ({ metadata, route }: StreamRequest): boolean {
    return (metadata.lastEventId ?? '') !== '' && (route.resumable || route.kind === 'streaming')
  }

  /** @returns the id under which the stream of the request is known */
  function streamId (req: StreamRequest): string {
    return isTakenUp(req) ? req.metadata.resumes ?? req.metadata.id : req.metadata.id
  }

  function found (req: StreamRequest, version: string, source: VersionSource, ageMs?: number): RequiredVersion {
    const { metadata: { id, resumes, lastEventId }, service } = req
    log.info('stream-taken-up', { id, resumes, lastEventId, service, version, source, ageMs: ageMs === undefined ? undefined : Math.round(ageMs) })
    metrics.takeUp(source)
    return { known: true, version }
  }

  function unknown (req: StreamRequest, reason: string): RequiredVersion {
    const { metadata: { id, resumes, lastEventId }, service } = req
    log.info('stream-version-unknown', { id, resumes: resumes?.slice(0, maxIdLength), lastEventId, service, reason })
    metrics.takeUp('unknown')
    return { known: false, reason }
  }

  function belongsTo ({ service, digest }: StreamRequest, origin: StreamOrigin | undefined): boolean {
    return origin !== undefined && origin.service === service && origin.digest === digest
  }

  async function fleetLogRead (): Promise<boolean> {
    const until = now() + fleetLogWaitMs
    while (!options.fleetLogRead()) {
      if (now() >= until) return false
      await new Promise<void>(resolve => options.after(fleetLogCheckMs, resolve))
    }
    return true
  }

  /** @returns whether no version can be missing among those of the entries that this node has read */
  async function versionsComplete (): Promise<boolean> {
    const startedAt = now()
    for (let readAt = -Infinity; options.entriesAgeMs() > entriesValidMs; await new Promise<void>(resolve => options.after(entriesCheckMs, resolve))) {
      if (now() - startedAt >= entriesWaitMs) return options.hearsOwners()
      if (now() - readAt < entriesRetryMs) continue
      readAt = now()
      options.readEntries()
    }
    return true
  }

  /** Records the streams in progress of services that have got a second version: they began unrecorded. */
  function updateMixed (services: Iterable<string>): void {
    let added = false
    for (const service of services) {
      const isMixed = versions.isMixed(service, now())
      if (isMixed === mixed.has(service)) continue
      log.info('service-versions', { service, mixed: isMixed })
      if (!isMixed) mixed.delete(service)
      else {
        mixed.add(service)
        added = true
      }
    }
    if (added) records.changed()
  }

  function isDue (record: VersionsRecord): boolean {
    const key = JSON.stringify(record)
    const entry = due.get(key) ?? { since: now(), writtenAt: -Infinity }
    due.set(key, entry)
    const rank = rankNodes(record.service, options.nodes().map(id => ({ id }))).findIndex(({ id }) => id === self.name)
    if (now() < entry.since + rank * writerDelayMs || now() < entry.writtenAt + rewriteDelayMs) return false
    entry.writtenAt = now()
    return true
  }

  async function writeRecord ({ service, versions: current }: VersionsRecord): Promise<void> {
    const result = await options.fleetLog.append([{ key: serviceVersionsKey(service), value: current.length === 0 ? undefined : { type: 'service-versions', service, versions: current } }])
    log.info('service-versions-recorded', { service, versions: current, ...(result.err ? { reason: result.val } : {}) })
  }

  return {
    async required (req) {
      if (!isTakenUp(req)) return { known: true, version: undefined }
      const { metadata: { resumes }, service } = req
      const own = resumes === undefined ? undefined : origins.find(resumes, now())
      if (own !== undefined && belongsTo(req, own.origin)) return found(req, own.origin.version, 'own', own.ageMs)
      if (!await fleetLogRead()) return unknown(req, 'the versions of the service have not been read')
      if (versions.only(service, now()) !== undefined && !await versionsComplete()) return unknown(req, 'the servers of the service are not known at present')
      const only = options.lacksServers() ? undefined : versions.only(service, now())
      if (only !== undefined) return found(req, only, 'only-version', options.entriesAgeMs())
      if (resumes === undefined || resumes === '' || resumes.length > maxIdLength) return unknown(req, 'the request names no stream')
      const recorded = await records.find(resumes)
      if (recorded.type !== 'found') return unknown(req, recorded.type === 'absent' ? 'no record of the stream' : 'the records of streams could not be read')
      if (!belongsTo(req, recorded.origin)) return unknown(req, 'the stream is of another request')
      return found(req, recorded.origin.version, 'record', recorded.ageMs)
    },
    progress (req) {
      const id = streamId(req)
      return {
        began (server) {
          origins.began({ id, service: req.service, version: softwareVersionOf(server), digest: req.digest }, now())
          if (versions.isMixed(req.service, now())) records.changed()
        },
        ended: complete => origins.ended(id, complete, now())
      }
    },
    observe (servers) {
      versions.observe(servers, now())
      updateMixed(new Set([...mixed, ...servers.map(({ service }) => service)]))
    },
    apply (applied) {
      versions.apply(applied, now())
      updateMixed(applied.flatMap(({ value }) => value?.type === 'service-versions' ? [value.service] : []))
    },
    recordsReplaced: versions.recordsReplaced,
    tick () {
      updateMixed([...mixed])
      // The record may name versions whose servers have left.
      if (!options.fleetLogRead()) return
      const outdated = versions.outdatedRecords(now())
      const keys = new Set(outdated.map(record => JSON.stringify(record)))
      for (const key of due.keys()) {
        if (!keys.has(key)) due.delete(key)
      }
      for (const record of outdated.filter(isDue)) {
        writeRecord(record).catch(err => { log.error('service-versions-recorded', { service: record.service, reason: (err as Error).message }) })
      }
    }
  }
}
