/**
 * Ownership of engines by log order. The offset of a valid owner record is the fencing number of
 * the term. Time only decides when a node appends; it never decides who the owner is.
 */
export * from './ownership-evictions'
export * from './ownership-reducer'
export * from './ownership-pins'
export * from './ownership-snapshot'
export * from './ownership-takeover'
