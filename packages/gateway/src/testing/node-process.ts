/** Runs one node with its in-memory platform in a process of its own, whose event loop a test can block. */
import type { ClusterConfig } from '../cluster-types'
import type { ServerRecord } from '../platform-interface'
import { testConfig } from './fake-platform'
import { startTestNodes } from './test-nodes'

export type NodeProcessCommand =
  | { type: 'server', id: string, record: ServerRecord }
  | { type: 'config', config: ClusterConfig }
  /** Blocks the event loop for a time, in ms. */
  | { type: 'block', ms: number }
  | { type: 'memory' }
  | { type: 'stop' }

export type NodeProcessReply =
  | { type: 'started', front: number }
  /** Peak of the resident memory, in bytes. */
  | { type: 'memory', peakBytes: number }
  | { type: 'stopped' }

const nodes = await startTestNodes(['a'])
nodes.platform.operator.append('config', { type: 'config', config: testConfig })
const reply = (message: NodeProcessReply): void => { process.send!(message) }

process.on('message', (command: NodeProcessCommand) => {
  if (command.type === 'server') nodes.platform.servers.append(command.id, command.record.type === 'server' ? command.record : undefined)
  else if (command.type === 'config') nodes.platform.operator.append('config', { type: 'config', config: command.config })
  else if (command.type === 'memory') reply({ type: 'memory', peakBytes: process.resourceUsage().maxRSS * 1024 })
  else if (command.type === 'block') {
    for (const end = performance.now() + command.ms; performance.now() < end;);
  } else {
    nodes.stop().then(() => {
      reply({ type: 'stopped' })
      process.disconnect()
    }).catch(err => { throw err })
  }
})
reply({ type: 'started', front: nodes.fronts[0]! })
