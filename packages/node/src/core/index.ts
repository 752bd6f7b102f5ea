/** Decisions of one node without I/O. */
export * from './core-config'
export * from './messages'
export { createNodeCore, type AddressAnswer, type AddressQuery, type NodeStatus, type QueryableCore } from './node-core'
export type { CoreMessage } from './peer-messages'
export type { Place } from './routing'
