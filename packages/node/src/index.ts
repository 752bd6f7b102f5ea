/** A node: its core without I/O, and the shells that connect it to callers, peers and back ends. */
export * from './core-port'
export * from './core/index'
export * from './create-node'
export * from './daemon'
export * from './observability'
export * from './settings'
