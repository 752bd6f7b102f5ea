/** Chooses the node that relays a request for one whose links to the servers are cut. */
import { drawSample } from './directory'

export type RelayNode = { name: string, address: string, zone: string }

export type RelayChoice = {
  /**
   * @param nodes - nodes that are not dead, without this one
   * @returns the nodes to ask in turn, best first
   */
  order (nodes: readonly RelayNode[], now: number): RelayNode[]
  /** The node did not relay a request, or could not be reached. */
  failed (name: string, now: number): void
  /** The node has relayed a request. @param framed - whether it says how the server ends; others come after those that do */
  relayed (name: string, framed: boolean): void
}

/** Number of nodes that are asked for one request. */
const nodesToAsk = 6
/** Number of them from the node's own zone that come first: all nodes of a zone may be cut together. */
const nodesOfZone = 2
/** Time for which a node that did not relay is asked last, in ms. */
const avoidanceMs = 1000

/** @param random - uniform numbers from 0 to 1 */
export function createRelayChoice (zone: string, random: () => number): RelayChoice {
  const avoidedUntil = new Map<string, number>()
  /** Nodes of an earlier build, whose responses without a length or chunks cannot be trusted to be complete. */
  const unframed = new Set<string>()

  return {
    order (nodes, now) {
      for (const name of unframed) if (!nodes.some(node => node.name === name)) unframed.delete(name)
      const isAvoided = ({ name }: RelayNode): boolean => (avoidedUntil.get(name) ?? -Infinity) > now
      const shuffled = drawSample(nodes, nodes.length, random)
      const usable = shuffled.filter(node => !isAvoided(node))
      const near = usable.filter(node => node.zone === zone).slice(0, nodesOfZone)
      const rest = usable.filter(node => !near.includes(node))
      const others = [...rest.filter(node => node.zone !== zone), ...rest.filter(node => node.zone === zone)]
      const ordered = [...near, ...others]
      const framedFirst = [...ordered.filter(({ name }) => !unframed.has(name)), ...ordered.filter(({ name }) => unframed.has(name))]
      return [...framedFirst, ...shuffled.filter(isAvoided)].slice(0, nodesToAsk)
    },
    failed (name, now) {
      for (const [other, until] of avoidedUntil) {
        if (until <= now) avoidedUntil.delete(other)
      }
      avoidedUntil.set(name, now + avoidanceMs)
    },
    relayed (name, framed) {
      avoidedUntil.delete(name)
      if (framed) unframed.delete(name)
      else unframed.add(name)
    }
  }
}
