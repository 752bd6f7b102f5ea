/** What marks the end of a response's body, and whether a response that has ended is complete. */
import type { ServerConnection } from './server-connection'

/** `none`: there is no body. `connection-close`: the body lasts until the server ends the connection. */
export type BodyFraming = 'none' | 'length' | 'chunked' | 'connection-close'

/**
 * @param header - value of a header field, by its name in lower case
 * @returns what marks the end of the body (RFC 9112, section 6.3)
 */
export function framingOf ({ method, status }: { method: string, status: number }, header: (name: string) => string | undefined): BodyFraming {
  if (method === 'HEAD' || status === 204 || status === 304) return 'none'
  const codings = header('transfer-encoding')
  if (codings !== undefined) return /(^|,)\s*chunked\s*$/i.test(codings) ? 'chunked' : 'connection-close'
  return header('content-length') === undefined ? 'connection-close' : 'length'
}

/**
 * Whether a response that undici reports as ended is complete. undici checks lengths and chunks, but ends a body that
 * lasts until the connection ends at any close of it.
 *
 * @param connection - on which the response came
 */
export function isComplete (framing: BodyFraming, connection: Pick<ServerConnection, 'endedByServer'> | undefined): boolean {
  return framing !== 'connection-close' || connection?.endedByServer === true
}

/** Reason of {@link UnprovenEndError}, for logs. */
export const unprovenEnd = 'UNPROVEN_END'

/** The connection of a response without a length or chunks was closed, but not by the server's end of it. */
export class UnprovenEndError extends Error {
  readonly code = unprovenEnd
}
