/** The shells' view of a core; tests of the shells use one with fixed decisions. */
import type { CoreAction, CoreEvent, ReceivedHint } from './core/messages'
import type { AddressAnswer, AddressQuery } from './core/node-core'

export type CorePort = {
  step (event: CoreEvent, now: number): CoreAction[]
  addresses (query: AddressQuery, now: number): AddressAnswer
  loadHints? (now: number): ReceivedHint[]
}
