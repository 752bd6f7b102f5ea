/** Cores over the stand-ins, for measurements and tests in other packages. */
export * from './answers'
export * from './world'
