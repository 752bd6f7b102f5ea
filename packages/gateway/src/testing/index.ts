/** Test helpers of the gateway. */
export * from './fake-platform'
export * from './forked-node'
export * from './free-ports'
export * from './load-simulation'
export * from './test-codec'
export * from './test-nodes'
export * from './version-streams'
export { parseSnapshot } from '../peer-state'
