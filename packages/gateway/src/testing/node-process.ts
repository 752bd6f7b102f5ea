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
  /** Asks for the requests that have ended and whose ids begin with the prefix. */
  | { type: 'ended-requests', prefix: string }
  | { type: 'stop' }

export type NodeProcessReply =
  | { type: 'started', front: number }
  /** Peak of the resident memory, in bytes. */
  | { type: 'memory', peakBytes: number }
  /** `lastMs`: time since the end of the last one, in ms; 0 if there is none. */
  | { type: 'ended-requests', count: number, lastMs: number }
  | { type: 'stopped' }

const nodes = await startTestNodes(['a'])
nodes.platform.operator.append('config', { type: 'config', config: testConfig })
const reply = (message: NodeProcessReply): void => { process.send!(message) }

/** Requests whose ends the log has, with their times. */
function endedRequests (prefix: string): string[] {
  return nodes.lines.filter(({ event, id }) => event === 'request-ended' && String(id).startsWith(prefix)).map(({ time }) => String(time))
}

process.on('message', (command: NodeProcessCommand) => {
  if (command.type === 'server') nodes.platform.servers.append(command.id, command.record.type === 'server' ? command.record : undefined)
  else if (command.type === 'config') nodes.platform.operator.append('config', { type: 'config', config: command.config })
  else if (command.type === 'memory') reply({ type: 'memory', peakBytes: process.resourceUsage().maxRSS * 1024 })
  else if (command.type === 'ended-requests') {
    const times = endedRequests(command.prefix)
    const last = times.at(-1)
    reply({ type: 'ended-requests', count: times.length, lastMs: last === undefined ? 0 : Date.now() - Date.parse(last) })
  } else if (command.type === 'block') {
    for (const end = performance.now() + command.ms; performance.now() < end;);
  } else {
    nodes.stop().then(() => {
      reply({ type: 'stopped' })
      process.disconnect()
    }).catch(err => { throw err })
  }
})
reply({ type: 'started', front: nodes.fronts[0]! })
