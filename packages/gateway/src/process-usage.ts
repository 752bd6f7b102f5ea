/** Reports the memory of the process while it or the heap is close to its limit, so that a process that is killed for it leaves a trace. */
import { getHeapStatistics } from 'node:v8'
import type { TrafficMonitor } from '@yuccawharf/clients'
import type { DecisionLog } from './decision-log'
import type { GatewayMetrics } from './gateway-metrics'

export type MemoryUsage = { rss: number, heapUsed: number, external: number, arrayBuffers: number }

export type ProcessUsageEnv = {
  log: DecisionLog
  metrics: GatewayMetrics
  /** Resident memory above which the platform kills the process, in bytes; infinite if it is not known. */
  memoryLimitBytes (): number
  /** Bytes of requests and responses that are kept now. */
  keptBytes (): number
  /** Number of requests in progress. */
  running (): number
  /** What arrives from servers. */
  traffic: Pick<TrafficMonitor, 'totals' | 'mostPieces'>
}

export type MemorySource = {
  /** Resident memory now, in bytes. */
  rss (): number
  /** Details of the memory, in bytes. */
  usage (): MemoryUsage
  /** Heap of JavaScript, in bytes; the process ends at its limit, whatever its resident memory. */
  heap (): { usedBytes: number, limitBytes: number }
}

const ownMemory: MemorySource = {
  rss: () => process.memoryUsage.rss(),
  usage: () => process.memoryUsage(),
  heap () {
    const { used_heap_size: usedBytes, heap_size_limit: limitBytes } = getHeapStatistics()
    return { usedBytes, limitBytes }
  }
}

export type ProcessUsage = {
  /** Compares the memory with its limit and updates the gauges. If the memory cannot be read, what was known of it holds. */
  check (): void
}

/** Shares of a limit above which memory is reported as high, and below which it is reported as normal again. */
const highShare = 0.7
const normalShare = 0.6

export function createProcessUsage (env: ProcessUsageEnv, memory = ownMemory): ProcessUsage {
  let high = false
  let readable = true

  /** Reading the memory takes a descriptor, which the process may lack. */
  function compare (): void {
    const residentBytes = memory.rss()
    const limitBytes = env.memoryLimitBytes()
    const heap = memory.heap()
    const share = Math.max(residentBytes / limitBytes, heap.usedBytes / heap.limitBytes)
    if (high ? share > normalShare : share <= highShare) return
    const { heapUsed, external, arrayBuffers } = memory.usage()
    high = !high
    const { server = '', pieces = 0, bodyBytes = 0, wireBytes = 0 } = env.traffic.mostPieces() ?? {}
    const fields = { residentBytes, limitBytes, heapBytes: heapUsed, heapLimitBytes: heap.limitBytes, externalBytes: external, bufferBytes: arrayBuffers, keptBytes: env.keptBytes(), running: env.running(), mostPieces: { server, pieces, bodyBytes, wireBytes } }
    if (high) env.log.warn('memory-high', fields)
    else env.log.info('memory-normal', fields)
  }

  return {
    check () {
      env.metrics.gauge('kept_bytes', env.keptBytes())
      env.metrics.gauge('running', env.running())
      const { pieces, bodyBytes, wireBytes } = env.traffic.totals()
      env.metrics.gauge('response_pieces', pieces)
      env.metrics.gauge('response_body_bytes', bodyBytes)
      env.metrics.gauge('response_wire_bytes', wireBytes)
      try {
        compare()
        if (!readable) env.log.info('memory-readable')
        readable = true
      } catch (err) {
        if (readable) env.log.warn('memory-unreadable', { reason: (err as Error).message })
        readable = false
      }
    }
  }
}
