/** Types and validators of settings, configuration and log records, generated from `schema/`. */
export * from './generated/index'
