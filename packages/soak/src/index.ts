/** Randomised runs of simulated nodes with fault injection and invariant checks. */
export * from './run'
