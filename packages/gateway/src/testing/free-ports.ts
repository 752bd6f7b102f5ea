export { findFreePorts as freePorts } from '@yuccawharf/stand-ins'
