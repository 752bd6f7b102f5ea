/**
 * Orders that run at most once: an order is sent only by the writer of the winning claim, once.
 * The log decides between claims, so a pause, a late append or a second sender cannot run an
 * order twice.
 */
export * from './claim-coordinator'
export * from './claims-key'
export * from './claims-reducer'
