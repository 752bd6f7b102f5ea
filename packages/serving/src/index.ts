/** Serving decisions without I/O. */
export * from './feedback'
export * from './handles'
export * from './invariant'
export * from './messages'
export * from './permits'
export * from './policy-options'
export * from './router'
export * from './scheduler'
