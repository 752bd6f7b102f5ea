/** Chooses the node addresses that clients get. */

export type DirectoryNode = { name: string, front: string, zone: string, ready: boolean, capacity: number }

/** Maximum number of addresses in one response; the platform ignores the rest. */
const maxAddresses = 64
/** With fewer nodes in its zone a client gets the nodes of all zones, so that it has another one if a node fails. */
const minInZone = 2

/**
 * @param nodes - all nodes; those that are leaving or dead are not ready
 * @param zone - availability zone of the client, if the client states it
 * @returns addresses of the ready nodes in the client's zone, or of all ready nodes if the zone has too few
 */
export function chooseAddresses (nodes: readonly DirectoryNode[], zone: string | undefined): string[] {
  const ready = nodes.filter(node => node.ready)
  const sameZone = ready.filter(node => node.zone === zone)
  return (sameZone.length >= Math.min(minInZone, ready.length) ? sameZone : ready).slice(0, maxAddresses).map(node => node.front)
}
