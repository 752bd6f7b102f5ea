export * from './claims'
export * from './ownership'
export * from './retry'
