/** Which addresses clients are told to use. */

export type DirectoryNode = { name: string, front: string, zone: string, ready: boolean, capacity: number }

/** Addresses in one answer; the platform reads no more. */
const maxAddresses = 64
/** With fewer nodes in its zone a client also gets those of other zones, so that one loss leaves it a choice. */
const minInZone = 2

/**
 * @param nodes - known nodes; those that are leaving or dead are not ready
 * @param zone - availability zone of the client, when it names one
 * @returns the addresses of nodes in the client's zone, or of all when too few are there
 */
export function chooseAddresses (nodes: readonly DirectoryNode[], zone: string | undefined): string[] {
  const ready = nodes.filter(node => node.ready)
  const sameZone = ready.filter(node => node.zone === zone)
  return (sameZone.length >= Math.min(minInZone, ready.length) ? sameZone : ready).slice(0, maxAddresses).map(node => node.front)
}
