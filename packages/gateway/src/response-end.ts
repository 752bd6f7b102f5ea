/** What has shown that a server's response is complete, for logs and metrics. */
import type { BodyFraming } from '@yuccawharf/clients'
import type { RawHeaders } from './platform-interface'

/** `relay-frame`: the node that relays the response has said that the server ended its connection; `no-body`: the head is all there is. */
export type ResponseEnd = 'no-body' | 'length' | 'last-chunk' | 'server-end' | 'relay-frame'

/** What is known of a response. */
export type ResponseFacts = {
  framing?: BodyFraming
  /** Size of the body as far as it has arrived, in bytes. */
  bytes: number
  /** Node that relayed it, if one did. */
  through?: string
  /** Absent unless the response is complete. */
  end?: ResponseEnd
}

const framedEnds = { none: 'no-body', length: 'length', chunked: 'last-chunk' } as const

/** @returns value of a header field, its values joined if it comes several times */
export function headerOf (raw: RawHeaders, name: string): string | undefined {
  const values = raw.filter((_, index) => index % 2 === 1 && raw[index - 1]!.toLowerCase() === name)
  return values.length === 0 ? undefined : values.join(', ')
}

/** @param relayed - whether the response came through another node */
export function endOf (framing: BodyFraming, relayed: boolean): ResponseEnd {
  if (framing !== 'connection-close') return framedEnds[framing]
  return relayed ? 'relay-frame' : 'server-end'
}
