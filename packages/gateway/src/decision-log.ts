/**
 * Structured logs on standard output, one JSON object per line. Writing never blocks the event loop and
 * the buffer is bounded; lines that do not fit are dropped, and their count is logged.
 */
import { write } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'
import { createConsola, type ConsolaInstance } from 'consola'

/** Bytes that may wait for standard output; further lines are dropped. */
const maxBufferedBytes = 256 * 1024
/** Interval at which buffered lines are written, in ms. */
const flushMs = 250
/** Longest time for which the end of the process waits for a slow reader, in ms, and the interval between attempts. */
const flushMaxMs = 500
const flushRetryMs = 20
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

/** @param writeBytes - resolves to the number of bytes that were taken, 0 while the reader is slow */
export function createLineWriter (writeBytes: (bytes: Buffer) => Promise<number>): LineWriter {
  let lines: string[] = []
  let lineBytes = 0
  /** Bytes of earlier lines that have not been taken. */
  let unwritten = Buffer.alloc(0)
  let dropped = 0
  let writing: Promise<void> | undefined
  let timer: NodeJS.Timeout | undefined

  const waiting = (): number => unwritten.length + lineBytes

  async function writeWaiting (): Promise<void> {
    for (let taken = Infinity; taken > 0 && waiting() > 0;) {
      if (unwritten.length === 0) {
        unwritten = Buffer.from(lines.join(''))
        lines = []
        lineBytes = 0
      }
      try {
        taken = await writeBytes(unwritten)
        unwritten = unwritten.subarray(taken)
      } catch {
        // If standard output fails, there is nowhere to report it but in the count.
        dropped += unwritten.toString().split('\n').length - 1
        unwritten = Buffer.alloc(0)
      }
    }
  }

  async function writeOnce (): Promise<void> {
    writing ??= writeWaiting().finally(() => { writing = undefined })
    await writing
  }

  function writeLater (): void {
    timer ??= setTimeout(() => {
      timer = undefined
      writeOnce().finally(() => { if (waiting() > 0) writeLater() })
    }, flushMs)
  }

  return {
    write (line) {
      if (waiting() + line.length > maxBufferedBytes) {
        dropped += 1
        return
      }
      lines.push(line)
      lineBytes += line.length
      writeLater()
    },
    async flush () {
      const timeout = new AbortController()
      const expired = sleep(flushMaxMs, undefined, { signal: timeout.signal }).catch(() => {})
      const written = (async () => {
        for (await writeOnce(); waiting() > 0 && !timeout.signal.aborted; await writeOnce()) await sleep(flushRetryMs)
      })()
      await Promise.race([written, expired])
      timeout.abort()
    },
    dropped: () => dropped
  }
}

function writeStdout (bytes: Buffer): Promise<number> {
  return new Promise((resolve, reject) => {
    write(stdoutFd, bytes, 0, bytes.length, null, (err, written) => {
      if (err === null) resolve(written)
      else if (err.code === 'EAGAIN') resolve(0)
      else reject(err)
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
