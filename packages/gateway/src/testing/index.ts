/** Helpers for tests of the gateway. */
export * from './test-codec'
