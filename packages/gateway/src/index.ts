/** Gateway in front of many backend servers: routes, engines with adapters, plain services. */
export { isAccountName, keyDigest, sharedKey } from './accounts'
export * from './cluster-types'
export * from './decision-log'
export * from './gateway'
export * from './gateway-metrics'
export * from './log-position'
export { blockedPartKey } from './part-blocking'
export * from './platform-interface'
