/** Decision logic of one node, without I/O. */
export * from './core-config'
export * from './core-events'
export { createNodeCore, type AddressResponse, type AddressQuery, type NodeStatus, type QueryableCore } from './node-core'
export type { CoreMessage } from './peer-messages'
export type { EngineRoute } from './routing'
