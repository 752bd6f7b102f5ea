/** Events of all processes in one order: hybrid logical clock, recording, merge and output. */
export * from './filter'
export * from './format'
export * from './hybrid-clock'
export * from './merge'
export * from './recorder'
export * from './trace'
