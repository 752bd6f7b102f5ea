/** Cores over the stand-ins, for measurements and tests in other packages. */
export * from './received-responses'
export * from './core-simulation'
