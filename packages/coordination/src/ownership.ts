/**
 * Ownership of engines, decided by the order of records in the log. The offset of a valid owner
 * record is the fencing token of the term. Time only decides when a node appends a record, never
 * who the owner is.
 */
export * from './ownership-evictions'
export * from './ownership-reducer'
export * from './ownership-pins'
export * from './ownership-snapshot'
export * from './ownership-takeover'
export * from './ownership-types'
