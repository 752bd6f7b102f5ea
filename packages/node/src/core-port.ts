/** Interface of the core as the shells use it; tests of the shells substitute a core with fixed decisions. */
import type { CoreAction, CoreEvent, AgedLoadHint } from './core/core-events'
import type { AddressResponse, AddressQuery } from './core/node-core'

export type CorePort = {
  step (event: CoreEvent, now: number): CoreAction[]
  addresses (query: AddressQuery, now: number): AddressResponse
  loadHints? (now: number): AgedLoadHint[]
}
