/**
 * Structured logs on standard output, one JSON object per line. Writing never blocks the event loop and
 * the buffer is bounded; lines that do not fit are dropped, and their count is logged.
 */
import { write } from 'node:fs'
import { createConsola, type ConsolaInstance } from 'consola'

/** Bytes that may wait for standard output; further lines are dropped. */
const maxBufferedBytes = 256 * 1024
/** Interval at which buffered lines are written, in ms. */
const flushMs = 250
const stdoutFd = 1

export type LogFields = Record<string, string | number | boolean | undefined | null | readonly unknown[] | Record<string, unknown>>

export type DecisionLog = {
  /** Logs a decision about a request or a change of this process's state. */
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
  /** Writes the buffered lines before the process ends. */
  close (): Promise<void>
  /** @returns number of lines dropped so far */
  dropped (): number
}

export type LineWriter = { write (line: string): void, flush (): Promise<void>, dropped (): number }

/** @param writeBytes - resolves when all bytes are written */
function createLineWriter (writeBytes: (bytes: Buffer) => Promise<void>): LineWriter {
  let lines: string[] = []
  let bytes = 0
  let dropped = 0
  let writing: Promise<void> | undefined
  let timer: NodeJS.Timeout | undefined

  async function flush (): Promise<void> {
    clearTimeout(timer)
    timer = undefined
    if (writing !== undefined) await writing
    if (lines.length === 0) return
    const text = lines.join('')
    lines = []
    bytes = 0
    // If standard output fails, there is nowhere to report it.
    writing = writeBytes(Buffer.from(text)).catch(() => {}).finally(() => { writing = undefined })
    await writing
  }

  return {
    write (line) {
      if (bytes + line.length > maxBufferedBytes) {
        dropped += 1
        return
      }
      lines.push(line)
      bytes += line.length
      timer ??= setTimeout(() => { flush().catch(() => {}) }, flushMs)
    },
    flush,
    dropped: () => dropped
  }
}

function writeStdout (bytes: Buffer): Promise<void> {
  return new Promise((resolve, reject) => {
    write(stdoutFd, bytes, 0, bytes.length, null, (err, written) => {
      if (err !== null) reject(err)
      else if (written < bytes.length) writeStdout(bytes.subarray(written)).then(resolve, reject)
      else resolve()
    })
  })
}

/** @param node - name of this node, added to each line */
export function createDecisionLog (node: string, writer: LineWriter = createLineWriter(writeStdout)): DecisionLog {
  let reportedCount = 0
  const format = (level: string, event: string, fields: LogFields): string =>
    `${JSON.stringify({ time: new Date().toISOString(), level, node, event, ...fields })}\n`

  const logger: ConsolaInstance = createConsola({
    level: 3,
    reporters: [{
      log ({ type, args: [event, fields] }) {
        const droppedCount = writer.dropped()
        if (droppedCount > reportedCount) {
          writer.write(format('warn', 'log-lines-dropped', { count: droppedCount - reportedCount }))
          reportedCount = droppedCount
        }
        writer.write(format(type, String(event), (fields ?? {}) as LogFields))
      }
    }]
  })

  return {
    info: (event, fields) => { logger.info(event, fields) },
    warn: (event, fields) => { logger.warn(event, fields) },
    error: (event, fields) => { logger.error(event, fields) },
    close: () => writer.flush(),
    dropped: () => writer.dropped()
  }
}
