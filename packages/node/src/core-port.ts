/** What the shells need from the core beyond events and actions. */
import type { Completion, CoreAction, CoreEvent, NodeCore } from './core/messages'

export type AddressQuery = { model?: string, class?: string, zone?: string, service?: string }

/** Body of `GET /v1/addresses`. */
export type AddressAnswer = {
  addresses: { address: string, zone: string }[]
  /** Time for which callers may keep the answer, in ms. */
  keepForMs: number
  revision: number
  /** Present for plain services. */
  orderKeyPrefix?: string
}

/** A completion's owner is another node; the shell opens the stream there. */
export type ForwardAction = { type: 'forward', requestId: string, node: string, address: string }

/** Events of the shells; a completion that another node forwarded is never forwarded again. */
export type PortEvent = CoreEvent | { type: 'submit', completion: Completion, forwarded: true }

export type PortAction = CoreAction | ForwardAction

/** The shells' view of a core. */
export type CorePort = {
  step (event: PortEvent, now: number): PortAction[]
  addresses (query: AddressQuery, now: number): AddressAnswer
  /** Configuration revision in force, -1 without one. */
  revision (): number
  /** Body of `GET /admin/status`. */
  status (now: number): unknown
}

export type { NodeCore }
