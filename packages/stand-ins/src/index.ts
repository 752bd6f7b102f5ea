/** Deterministic models of the outside systems and HTTP servers over them. */
export * from './clock'
export * from './engine-model'
export * from './http-servers'
export * from './instance-list-model'
export * from './log-model'
export * from './plain-service-model'
export * from './prefix-cache-model'
export * from './weight-store-model'
