/** A change to a node of the soak, which the checks must detect. */
import type { CoreHooks } from '@yuccawharf/node'
import type { NodeUnderTest } from './sim-process'

export type Mutation = {
  hooks: CoreHooks
  /** Wraps the node that the shells drive. */
  wrap?: (node: NodeUnderTest) => NodeUnderTest
  /** The stream shell accepts events of a response as they arrive, without checking their sequence numbers. */
  skipSequenceCheck?: boolean
}
