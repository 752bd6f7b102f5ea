/** Serving decisions without I/O. */
export * from './messages'
export * from './answer-relay'
export * from './answer-relay-events'
