/** Policy benchmark. */
export * from './compare'
export * from './metrics'
export * from './policies'
export * from './runner'
export * from './workload'
