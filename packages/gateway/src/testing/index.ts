/** Helpers for tests of the gateway. */
export * from './fake-platform'
export * from './load-play'
export * from './test-codec'
