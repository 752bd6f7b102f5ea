/**
 * At-most-once execution of orders: only the writer of the winning claim sends an order, once.
 * The log decides between claims, so a pause, a late append or a second sender cannot run an
 * order twice.
 */
export * from './claim-coordinator'
export * from './claims-key'
export * from './claims-reducer'
