/** Reports the memory of the process while it is close to its limit, so that a process that is killed for it leaves a trace. */
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
}

export type MemorySource = {
  /** Resident memory now, in bytes. */
  rss (): number
  /** Details of the memory, in bytes. */
  usage (): MemoryUsage
}

const ownMemory: MemorySource = { rss: () => process.memoryUsage.rss(), usage: () => process.memoryUsage() }

export type ProcessUsage = {
  /** Compares the memory with its limit and updates the gauges. If the memory cannot be read, what was known of it holds. */
  check (): void
}

/** Shares of the limit above which memory is reported as high, and below which it is reported as normal again. */
const highShare = 0.7
const normalShare = 0.6

export function createProcessUsage (env: ProcessUsageEnv, memory = ownMemory): ProcessUsage {
  let high = false
  let readable = true

  /** Reading the memory takes a descriptor, which the process may lack. */
  function compare (): void {
    const residentBytes = memory.rss()
    const limitBytes = env.memoryLimitBytes()
    if (high ? residentBytes > limitBytes * normalShare : residentBytes <= limitBytes * highShare) return
    const { heapUsed, external, arrayBuffers } = memory.usage()
    high = !high
    const fields = { residentBytes, limitBytes, heapBytes: heapUsed, externalBytes: external, bufferBytes: arrayBuffers, keptBytes: env.keptBytes(), running: env.running() }
    if (high) env.log.warn('memory-high', fields)
    else env.log.info('memory-normal', fields)
  }

  return {
    check () {
      env.metrics.gauge('kept_bytes', env.keptBytes())
      env.metrics.gauge('running', env.running())
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
