import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { connectionLimits } from './connection-limits'
import { createConnectionReport } from './connection-report'
import { createDecisionLog, type LogFields } from './decision-log'
import { createGatewayMetrics } from './gateway-metrics'

const test = suite('connection report')

// Guards against connections that are closed without a trace, and against a line for each of them.
test('connections that are closed for room are logged once for each check', async () => {
  const lines: LogFields[] = []
  const log = createDecisionLog('n1', { write: line => { lines.push(JSON.parse(line) as LogFields) }, flush: async () => {}, dropped: () => 0 })
  const metrics = createGatewayMetrics()
  const report = createConnectionReport(connectionLimits(512), log, metrics)
  const { maxConnections, connectionsChanged, closedForRoom } = report.bounds('front')
  connectionsChanged!(168)
  for (const connection of ['idle', 'new', 'receiving', 'idle'] as const) closedForRoom!(connection)
  report.check()
  report.check()
  assert.equal(lines.map(({ event, server, idle, receiving, refused, open, maxConnections }) => ({ event, server, idle, receiving, refused, open, maxConnections })), [
    { event: 'connections-closed', server: 'front', idle: 2, receiving: 1, refused: 1, open: 168, maxConnections }
  ])
  assert.match(await metrics.text(() => {}), 'yuccawharf_state{name="client_connections"} 168')
})

test.run()
