/** Simulation of node cores, for tests and benchmarks in other packages. */
export * from './received-responses'
export * from './core-simulation'
