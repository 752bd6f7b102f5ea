/** Shares the descriptors of the process between its servers, so that clients leave what the node itself needs. */

export type ServerName = 'front' | 'ready' | 'directory' | 'control' | 'metrics'

/** Largest number of open connections of each server. */
export type ConnectionLimits = Record<ServerName, number>

/** Descriptors that the platform keeps for files, or their share where the limit is low. */
const fileDescriptors = 200
const fileShare = 1 / 4
/** Share of the sockets that each server but the front has for itself, and the connections that it has at least. */
const auxiliaryShare = 1 / 32
const minAuxiliary = 4
const auxiliaryServers = 4
/** Each request in progress takes a connection of a client and one to a server. */
const frontShare = 1 / 2

/** @param limits - limits of the process's open descriptors, undefined if not known; the lowest counts */
export function connectionLimits (...limits: (number | undefined)[]): ConnectionLimits {
  const maxDescriptors = Math.min(...limits.map(limit => limit ?? Infinity))
  if (maxDescriptors === Infinity) return { front: Infinity, ready: Infinity, directory: Infinity, control: Infinity, metrics: Infinity }
  const sockets = maxDescriptors - Math.min(fileDescriptors, Math.ceil(maxDescriptors * fileShare))
  const auxiliary = Math.max(minAuxiliary, Math.floor(sockets * auxiliaryShare))
  const front = Math.max(1, Math.floor((sockets - auxiliaryServers * auxiliary) * frontShare))
  return { front, ready: auxiliary, directory: auxiliary, control: auxiliary, metrics: auxiliary }
}
