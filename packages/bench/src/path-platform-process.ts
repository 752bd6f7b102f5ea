/** Hosts the platform of the throughput measurement in a separate process. Arguments: batch size, step in ms, node addresses. */
import { startPathPlatform } from './path-platform'

const [batchSize = '500', stepMs = '20', ...nodes] = process.argv.slice(2)
const platform = await startPathPlatform({ batchSize: Number(batchSize), stepMs: Number(stepMs) })
nodes.forEach((address, index) => platform.instances.put({ id: `node-${index + 1}`, kind: 'node', address, zone: 'z', region: 'r', group: 'node', state: 'live' }))
const { engineUrl, logUrl, instancesUrl } = platform
console.log(JSON.stringify({ engineUrl, logUrl, instancesUrl }))
