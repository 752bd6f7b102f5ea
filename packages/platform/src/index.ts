/** Interfaces to the platform and their HTTP clients. */
export * from './interfaces'
