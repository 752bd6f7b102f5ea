/**
 * Rendezvous hashing: processes with the same list of nodes rank them equally for a key, and a node
 * that joins or leaves moves only the keys that it gains or loses.
 */
import { hashText, mixHash } from './hash'

export type RendezvousNode = {
  id: string
  /** For example the availability zone. */
  group?: string
}

type Scored<Node> = { node: Node, score: number, preferred: boolean }

const scoreOf = (keyHash: number, id: string): number => {
  const nodeHash = hashText(id)
  return mixHash(mixHash(keyHash ^ nodeHash) + nodeHash)
}

const scoreNode = <Node extends RendezvousNode>(keyHash: number, node: Node, preferredGroup?: string): Scored<Node> => ({
  node,
  score: scoreOf(keyHash, node.id),
  preferred: preferredGroup !== undefined && node.group === preferredGroup
})

const compareScored = <Node extends RendezvousNode>(left: Scored<Node>, right: Scored<Node>): number => {
  if (left.preferred !== right.preferred) {
    return left.preferred ? -1 : 1
  }
  if (left.score !== right.score) {
    return right.score - left.score
  }
  return left.node.id < right.node.id ? -1 : 1
}

/**
 * Ranks all nodes for a key.
 *
 * @param key - key whose nodes are ranked
 * @param nodes - candidates, in any order
 * @param preferredGroup - nodes of this group come first
 * @returns the nodes, best first
 */
export const rankNodes = <Node extends RendezvousNode>(key: string, nodes: readonly Node[], preferredGroup?: string): Node[] => {
  const keyHash = hashText(key)
  return nodes
    .map(node => scoreNode(keyHash, node, preferredGroup))
    .sort(compareScored)
    .map(({ node }) => node)
}

/**
 * Returns the first of {@link rankNodes} without sorting.
 *
 * @param key - key whose nodes are ranked
 * @param nodes - candidates, in any order
 * @param preferredGroup - nodes of this group come first
 * @returns undefined when there are no nodes
 */
export const topNode = <Node extends RendezvousNode>(key: string, nodes: readonly Node[], preferredGroup?: string): Node | undefined => {
  const keyHash = hashText(key)
  let best: Scored<Node> | undefined
  for (const node of nodes) {
    const candidate = scoreNode(keyHash, node, preferredGroup)
    if (best === undefined || compareScored(candidate, best) < 0) {
      best = candidate
    }
  }
  return best?.node
}
