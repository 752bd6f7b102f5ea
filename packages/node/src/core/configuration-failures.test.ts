import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSimulation } from './testing/core-simulation'

// Guards against P8: messages that were queued during a pause would count as current contact with peers.
test('after a pause, during a log outage, queued messages do not show that the configuration is current', () => {
  const simulation = createCoreSimulation({ nodes: ['n1', 'n2'], engines: ['e1'] })
  simulation.advance(6_000)
  simulation.node('n2').pause()
  simulation.advance(10_000)
  simulation.log.setOutage(true)
  simulation.node('n2').resume()
  simulation.advance(10)
  simulation.submit('n2', { requestId: 'r1' })
  simulation.advance(50)
  assert.equal(simulation.responses.get('r1').refusals.map(({ outcome, reason }) => `${outcome}: ${reason}`), ['not-run: the node has lost contact with the log and its peers'])
  simulation.log.setOutage(false)
  simulation.advance(4_000)
  simulation.submit('n2', { requestId: 'r2' })
  simulation.advance(4_000)
  assert.equal(simulation.responses.get('r2').refusals, [])
})

test.run()
