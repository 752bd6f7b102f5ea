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
  /** Compares the memory with its limit and updates the gauges. */
  check (): void
}

/** Shares of the limit above which memory is reported as high, and below which it is reported as normal again. */
const highShare = 0.7
const normalShare = 0.6

export function createProcessUsage (env: ProcessUsageEnv, memory = ownMemory): ProcessUsage {
  let high = false

  return {
    check () {
      const residentBytes = memory.rss()
      const limitBytes = env.memoryLimitBytes()
      const keptBytes = env.keptBytes()
      env.metrics.gauge('kept_bytes', keptBytes)
      env.metrics.gauge('running', env.running())
      if (high ? residentBytes > limitBytes * normalShare : residentBytes <= limitBytes * highShare) return
      high = !high
      const { heapUsed, external, arrayBuffers } = memory.usage()
      const fields = { residentBytes, limitBytes, heapBytes: heapUsed, externalBytes: external, bufferBytes: arrayBuffers, keptBytes, running: env.running() }
      if (high) env.log.warn('memory-high', fields)
      else env.log.info('memory-normal', fields)
    }
  }
}
