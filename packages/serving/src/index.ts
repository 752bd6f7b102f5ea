/** Serving decisions without I/O. */
export * from './messages'
