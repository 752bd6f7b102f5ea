/** Chooses the node addresses that clients get. */

export type DirectoryNode = { name: string, front: string, zone: string, ready: boolean, capacity: number }

/** Maximum number of addresses in one response; the platform ignores the rest. */
const maxAddresses = 64
/** With fewer nodes in its zone a client gets the nodes of all zones, so that it has another one if a node fails. */
const minInZone = 2

/**
 * @param random - uniform numbers from 0 to 1
 * @returns `count` different items in random order, or all if there are fewer
 */
export function drawSample<Item> (items: readonly Item[], count: number, random: () => number): Item[] {
  const rest = [...items]
  return Array.from({ length: Math.min(count, rest.length) }, () => rest.splice(Math.floor(random() * rest.length), 1)[0]!)
}

/**
 * @param nodes - all nodes; those that are leaving or dead are not ready
 * @param zone - availability zone of the client, if the client states it
 * @param random - uniform numbers from 0 to 1
 * @returns addresses of the ready nodes in the client's zone, or of all ready nodes if the zone has too few; different ones for each client if not all fit
 */
export function chooseAddresses (nodes: readonly DirectoryNode[], zone: string | undefined, random: () => number): string[] {
  const ready = nodes.filter(node => node.ready)
  const sameZone = ready.filter(node => node.zone === zone)
  const chosen = sameZone.length >= Math.min(minInZone, ready.length) ? sameZone : ready
  return (chosen.length > maxAddresses ? drawSample(chosen, maxAddresses, random) : chosen).map(node => node.front)
}
