import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createCoreSimulation } from './testing/core-simulation'

// Guards against P8: messages that waited during a pause would prove contact with peers of long ago.
test('a node that wakes without the log takes no waiting message for a sign that its configuration is current', () => {
  const world = createCoreSimulation({ nodes: ['n1', 'n2'], engines: ['e1'] })
  world.advance(6_000)
  world.node('n2').pause()
  world.advance(10_000)
  world.log.setOutage(true)
  world.node('n2').resume()
  world.advance(10)
  world.submit('n2', { requestId: 'r1' })
  world.advance(50)
  assert.equal(world.responses.get('r1').refusals.map(({ outcome, reason }) => `${outcome}: ${reason}`), ['not-run: the node has lost contact with the log and its peers'])
  world.log.setOutage(false)
  world.advance(4_000)
  world.submit('n2', { requestId: 'r2' })
  world.advance(4_000)
  assert.equal(world.responses.get('r2').refusals, [])
})

test.run()
