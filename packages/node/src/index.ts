/** The node: its core without I/O, and the shells that connect it to callers, peers and back ends. */
export * from './core-port'
export * from './daemon'
export * from './observability'
export { misdirectedStatus } from './forwarder'
export type * from './core/messages'
export * from './settings'
export * from './core/index'
