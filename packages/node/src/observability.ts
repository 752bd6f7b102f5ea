/** Logging and metrics of the daemon. */
import { createConsola, type ConsolaInstance } from 'consola'
import { StatsD } from 'hot-shots'
import type { Settings } from '@yuccawharf/schema'

export type Logger = Pick<ConsolaInstance, 'error' | 'warn' | 'info' | 'debug'>

const levels = { error: 0, warn: 1, info: 3, debug: 4 }

/** There is nowhere to report that the log cannot be written, and an error without a listener ends the process. */
function outlastFailedWrite (): void {}

/** @param level least severe level that is logged */
export function createLogger (level: keyof typeof levels): Logger {
  for (const stream of [process.stdout, process.stderr]) {
    if (!stream.listeners('error').includes(outlastFailedWrite)) stream.on('error', outlastFailedWrite)
  }
  return createConsola({ level: levels[level], formatOptions: { date: true, colors: false } })
}

export type Metrics = {
  count (name: string, value?: number): void
  gauge (name: string, value: number): void
  timing (name: string, ms: number): void
  close (): void
}

/** Creates the StatsD metrics; without settings nothing is sent. */
export function createMetrics (settings: Settings['metrics'], tags: Record<string, string>): Metrics {
  if (settings === undefined) return { count () {}, gauge () {}, timing () {}, close () {} }
  const { host, port, prefix } = settings
  // An unreachable StatsD server must not affect the node.
  const client = new StatsD({ host, port: port ?? 8125, prefix: prefix ?? 'yuccawharf.', globalTags: tags, errorHandler: () => {}, maxBufferSize: 1400 })
  return {
    count: (name, value = 1) => { client.increment(name, value) },
    gauge: (name, value) => { client.gauge(name, value) },
    timing: (name, ms) => { client.timing(name, ms) },
    close: () => { client.close(() => {}) }
  }
}
