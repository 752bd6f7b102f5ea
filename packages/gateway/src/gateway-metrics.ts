/** Counters, gauges and latency histograms, served as text on the metrics address. */
import { readdir } from 'node:fs/promises'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { ResponseEnd } from './response-end'
import type { ServerUse } from './server-use'

/** Bucket bounds of the latency histograms, in seconds: from one network hop to the longest deadlines. */
const latencyBuckets = [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.8, 1, 1.5, 2.5, 4, 6, 10, 15]

/** Has an entry for each open descriptor of the process. */
const descriptorFolder = '/proc/self/fd'

export type GatewayMetrics = {
  requestEnded (service: string, outcome: string, seconds: number): void
  firstEvent (service: string, seconds: number): void
  /** A server's response is complete, which this has shown. */
  responseEnded (end: ResponseEnd): void
  queueWait (seconds: number): void
  refused (reason: string): void
  command (operation: string, result: string): void
  /** Something that a server has stated, as this node learned it from the server or from another node. */
  serverStatement (kind: 'limit' | 'limit-lifted' | 'brittle' | 'leaving' | 'wait' | 'unusable'): void
  /** A server was ejected, is on probation or is in use again. */
  serverUse (use: ServerUse): void
  /** A request got no permit for a server. */
  permitDenied (reason: string): void
  /** A client takes up a stream; `unknown` if its software version is not known. */
  takeUp (source: 'own' | 'only-version' | 'record' | 'unknown'): void
  /** Units of an account's limit; `refused` includes requests for which no node lent. */
  quotaUnits (kind: 'admitted' | 'refused' | 'lent', account: string, units: number): void
  /** Fill level of the ledger of an account's limit at this node, in the limit's unit. */
  quotaLevel (account: string, units: number): void
  storeCall (feed: string, result: string): void
  gauge (name: 'waiting' | 'running' | 'engines_owned' | 'config_version' | 'config_age_ms' | 'ready' | 'blocked_parts' | 'kept_bytes' | 'response_pieces' | 'response_body_bytes' | 'response_wire_bytes' | 'client_connections' | 'waiting_reads' | 'cut_services' | 'relayed_connections', value: number): void
  /** @param unreadable - called if the state of the process cannot be read; the text has the last values then */
  text (unreadable: (err: Error) => void): Promise<string>
}

/** Reading the state of the process takes descriptors. */
export type ProcessSource = {
  memory (): { rss: number, heapUsed: number, external: number, arrayBuffers: number }
  /** Number of open descriptors. */
  descriptors (): Promise<number>
}

const ownProcess: ProcessSource = {
  memory: () => process.memoryUsage(),
  descriptors: async () => (await readdir(descriptorFolder)).length
}

export function createGatewayMetrics (source = ownProcess): GatewayMetrics {
  let readError: Error | undefined
  const registers = [new Registry()]
  const requests = new Counter({ name: 'yuccawharf_requests_total', help: 'Requests by service and outcome.', labelNames: ['service', 'outcome'], registers })
  const durations = new Histogram({ name: 'yuccawharf_request_seconds', help: 'Time from arrival to the end of the response.', labelNames: ['service', 'outcome'], buckets: latencyBuckets, registers })
  const firsts = new Histogram({ name: 'yuccawharf_first_event_seconds', help: 'Time from arrival to the first event of a stream.', labelNames: ['service'], buckets: latencyBuckets, registers })
  const responseEnds = new Counter({ name: 'yuccawharf_response_ends_total', help: 'Complete responses of servers, by what has shown their end.', labelNames: ['end'], registers })
  const waits = new Histogram({ name: 'yuccawharf_queue_seconds', help: 'Time in the queue of an engine owner.', buckets: latencyBuckets, registers })
  const refusals = new Counter({ name: 'yuccawharf_refusals_total', help: 'Requests refused as not run, by reason.', labelNames: ['reason'], registers })
  const commands = new Counter({ name: 'yuccawharf_engine_commands_total', help: 'Commands to engines by operation and result.', labelNames: ['operation', 'result'], registers })
  const calls = new Counter({ name: 'yuccawharf_store_calls_total', help: 'Calls to the platform store by feed and result.', labelNames: ['feed', 'result'], registers })
  const statements = new Counter({ name: 'yuccawharf_server_statements_total', help: 'Changes of what servers state about themselves, by kind.', labelNames: ['kind'], registers })
  const uses = new Counter({ name: 'yuccawharf_server_uses_total', help: 'Changes of how this node uses servers, by the new use.', labelNames: ['use'], registers })
  const denials = new Counter({ name: 'yuccawharf_permits_denied_total', help: 'Requests without a permit for a server that states a limit, by reason.', labelNames: ['reason'], registers })
  const takeUps = new Counter({ name: 'yuccawharf_stream_take_ups_total', help: 'Streams that clients take up, by how their software version is known.', labelNames: ['source'], registers })
  const quotaUnits = new Counter({ name: 'yuccawharf_quota_units_total', help: 'Units of the limits of accounts that were admitted, refused and lent.', labelNames: ['kind', 'account'], registers })
  const quotaLevels = new Gauge({ name: 'yuccawharf_quota_level', help: 'Fill level of the ledgers of accounts at this node.', labelNames: ['account'], registers })
  registers[0]!.registerMetric(new Gauge({
    name: 'yuccawharf_process',
    help: 'Memory in bytes and number of open descriptors of the process.',
    labelNames: ['name'],
    registers: [],
    // Read when the metrics are read, because counting descriptors costs a call for each.
    async collect () {
      try {
        const { rss, heapUsed, external, arrayBuffers } = source.memory()
        this.set({ name: 'resident_bytes' }, rss)
        this.set({ name: 'heap_bytes' }, heapUsed)
        this.set({ name: 'external_bytes' }, external)
        this.set({ name: 'buffer_bytes' }, arrayBuffers)
        this.set({ name: 'descriptors' }, await source.descriptors())
      } catch (err) {
        readError = err as Error
      }
    }
  }))
  const gauges = new Gauge({ name: 'yuccawharf_state', help: 'Current values.', labelNames: ['name'], registers })

  return {
    requestEnded (service, outcome, seconds) {
      requests.inc({ service, outcome })
      durations.observe({ service, outcome }, seconds)
    },
    firstEvent: (service, seconds) => { firsts.observe({ service }, seconds) },
    responseEnded: end => { responseEnds.inc({ end }) },
    queueWait: seconds => { waits.observe(seconds) },
    refused: reason => { refusals.inc({ reason }) },
    command: (operation, result) => { commands.inc({ operation, result }) },
    serverStatement: kind => { statements.inc({ kind }) },
    serverUse: use => { uses.inc({ use }) },
    permitDenied: reason => { denials.inc({ reason }) },
    takeUp: source => { takeUps.inc({ source }) },
    quotaUnits: (kind, account, units) => { quotaUnits.inc({ kind, account }, units) },
    quotaLevel: (account, units) => { quotaLevels.set({ account }, units) },
    storeCall: (feed, result) => { calls.inc({ feed, result }) },
    gauge: (name, value) => { gauges.set({ name }, value) },
    async text (unreadable) {
      readError = undefined
      const text = await registers[0]!.metrics()
      if (readError !== undefined) unreadable(readError)
      return text
    }
  }
}
