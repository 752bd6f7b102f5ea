/** Times until which faults may delay updates to a node. They also apply to a process that starts meanwhile. */

export type UpdateSource = 'log' | 'list'

export type Disturbances = {
  /** @param node - undefined for all nodes */
  add (source: UpdateSource, node: string | undefined, until: number): void
  /** @returns the end of the node's last disturbance, in ms; -Infinity without one */
  until (source: UpdateSource, node: string): number
}

const everyNode = '*'

export const createDisturbances = (): Disturbances => {
  const ends = new Map<string, number>()
  const endOf = (source: UpdateSource, node: string): number => ends.get(`${source} ${node}`) ?? -Infinity
  return {
    add (source, node = everyNode, until) {
      ends.set(`${source} ${node}`, Math.max(endOf(source, node), until))
    },
    until: (source, node) => Math.max(endOf(source, node), endOf(source, everyNode))
  }
}
