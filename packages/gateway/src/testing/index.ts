/** Helpers for tests of the gateway. */
export * from './fake-platform'
export * from './test-codec'
