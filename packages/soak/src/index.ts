/** Randomised runs of whole nodes with fault injection and invariant checks. */
export * from './run'
