/** Interfaces of the platform's services and their HTTP clients. */
export * from './engine-client'
export * from './http-client'
export * from './instance-list-client'
export * from './interfaces'
export * from './log-client'
export * from './plain-service-client'
export * from './sse-parser'
export * from './response-tracker'
