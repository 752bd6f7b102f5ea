import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createDecisionLog, type LogFields } from './decision-log'
import { createGatewayMetrics } from './gateway-metrics'
import { createProcessUsage } from './process-usage'

const test = suite('process usage')

type Line = LogFields & { event: string }

/**
 * @param residentBytes - memory at each check; undefined while it cannot be read
 * @param heapBytes - heap at each check, of 100
 */
function usageAt (residentBytes: (number | undefined)[], limitBytes: number, heapBytes: number[] = []): Line[] {
  const lines: Line[] = []
  const log = createDecisionLog('n1', { write: line => { lines.push(JSON.parse(line) as Line) }, flush: async () => {}, dropped: () => 0 })
  let index = 0
  const resident = (): number => {
    const bytes = residentBytes[index]
    if (bytes === undefined) throw new Error('EMFILE: too many open files, uv_resident_set_memory')
    return bytes
  }
  const usage = createProcessUsage({
    log,
    metrics: createGatewayMetrics(),
    memoryLimitBytes: () => limitBytes,
    keptBytes: () => 7,
    running: () => 3,
    traffic: { totals: () => ({ pieces: 9, bodyBytes: 9, wireBytes: 54 }), mostPieces: () => ({ server: 's1', pieces: 9, bodyBytes: 9, wireBytes: 54 }) }
  }, {
    rss: resident,
    usage: () => ({ rss: resident(), heapUsed: 1, external: 2, arrayBuffers: 1 }),
    heap: () => ({ usedBytes: heapBytes[index] ?? 0, limitBytes: 100 })
  })
  for (; index < residentBytes.length; index++) usage.check()
  return lines
}

// Guards against a process that is killed for its memory without a line, and against a line for each check.
test('memory close to its limit is logged once, and once when it is normal again', () => {
  const lines = usageAt([60, 69, 71, 72, 65, 71, 59, 50, 80], 100)
  assert.equal(lines.map(({ event, residentBytes }) => [event, residentBytes]), [['memory-high', 71], ['memory-normal', 59], ['memory-high', 80]])
  assert.is(lines[0]!.keptBytes, 7)
  assert.is(lines[0]!.running, 3)
})

// Guards against a process that ends at the limit of its heap without a line that names the cause.
test('a heap close to its limit is logged with the response that has the most pieces', () => {
  const lines = usageAt([1, 1, 1, 1], 100, [70, 71, 65, 59])
  assert.equal(lines.map(({ event }) => event), ['memory-high', 'memory-normal'])
  assert.equal(lines[0]!.mostPieces, { server: 's1', pieces: 9, bodyBytes: 9, wireBytes: 54 })
})

test('memory without a known limit is never high', () => {
  assert.equal(usageAt([60, 1e12], Infinity), [])
})

// Guards against a process that ends because its memory cannot be read while it has no descriptors.
test('memory that cannot be read is logged once, and what was known of it holds', () => {
  const lines = usageAt([71, undefined, undefined, 72, undefined, 50], 100)
  assert.equal(lines.map(({ event }) => event), ['memory-high', 'memory-unreadable', 'memory-readable', 'memory-unreadable', 'memory-normal', 'memory-readable'])
})

test.run()
