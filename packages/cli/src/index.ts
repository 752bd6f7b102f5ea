/** The `yuccawharf` command. */
export * from './command'
export * from './commands'
export * from './run'
