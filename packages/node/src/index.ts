export * from './core/index'
