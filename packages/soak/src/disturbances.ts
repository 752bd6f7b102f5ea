/** Until when faults may keep news from a node; a process that starts meanwhile is affected too. */

export type UpdateSource = 'log' | 'list'

export type Disturbances = {
  /** @param node - undefined for all nodes */
  add (source: UpdateSource, node: string | undefined, until: number): void
  /** @returns the end of the last disturbance of a node, in ms */
  until (source: UpdateSource, node: string): number
}

const everyNode = '*'

/** @returns no disturbances */
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
