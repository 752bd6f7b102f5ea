/** Table of the members, and the precedence of updates about them. */
import type { ListedNode, Member, MemberState, MemberUpdate } from './membership-types'

export type TableEntry = MemberUpdate & {
  listed: boolean
  listedLeaving: boolean
  zone: string
  region: string
}

const stateRank: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2 }

/**
 * Whether an update takes precedence over the current entry: by newer incarnation, then newer
 * refutation, then worse state.
 */
const supersedes = (update: MemberUpdate, current: MemberUpdate): boolean => {
  if (update.incarnation !== current.incarnation) {
    return update.incarnation > current.incarnation
  }
  if (update.refutation !== current.refutation) {
    return update.refutation > current.refutation
  }
  return stateRank[update.state] > stateRank[current.state]
}

/** Whether other nodes that know `update` ignore what the member now states of itself; leaving is never reset within an incarnation. */
export const hidesSelf = (update: MemberUpdate, stated: MemberUpdate): boolean =>
  update.incarnation > stated.incarnation || (update.incarnation === stated.incarnation && update.leaving && !stated.leaving)

const announcesLeaving = (update: MemberUpdate, current: MemberUpdate): boolean =>
  update.incarnation === current.incarnation && update.leaving && !current.leaving

/** Number of members removed by the platform that are remembered, so that late gossip cannot add them again. */
const maxRemoved = 1024

export type MemberTable = {
  get (id: string): TableEntry | undefined
  ids (): Iterable<string>
  readonly size: number
  /** @returns the entry if the update changed it */
  merge (update: MemberUpdate): TableEntry | undefined
  /** @returns the entries that changed */
  applyList (nodes: readonly ListedNode[]): { changed: TableEntry[], removed: TableEntry[] }
}

/**
 * @param entry - an entry of the table
 * @returns the member without the internal fields
 */
export const toMember = (entry: TableEntry): Member => ({
  id: entry.id,
  address: entry.address,
  incarnation: entry.incarnation,
  state: entry.state,
  leaving: entry.leaving || entry.listedLeaving,
  listed: entry.listed,
  zone: entry.zone,
  region: entry.region
})

const merged = (update: MemberUpdate, current: TableEntry): TableEntry => {
  const newer = supersedes(update, current)
  const wasLeaving = current.incarnation === update.incarnation && current.leaving
  const base = newer ? { ...current, ...update } : current
  return { ...base, leaving: (newer ? update.leaving : current.leaving) || wasLeaving || announcesLeaving(update, current) }
}

const listedEntry = (node: ListedNode, current: TableEntry | undefined): TableEntry => ({
  ...(current ?? { incarnation: 0, refutation: 0, state: 'alive', leaving: false }),
  id: node.id,
  // The list lags behind: an address that the member itself has announced is newer.
  address: current === undefined || current.incarnation === 0 ? node.address : current.address,
  zone: node.zone,
  region: node.region,
  listed: true,
  listedLeaving: node.state === 'leaving'
})

const differs = (left: TableEntry | undefined, right: TableEntry): boolean =>
  left === undefined || left.listedLeaving !== right.listedLeaving || !left.listed || left.address !== right.address

/**
 * @param self - id of this node, which is not in the table
 * @returns an empty table
 */
export const createMemberTable = (self: string): MemberTable => {
  const entries = new Map<string, TableEntry>()
  const removed = new Map<string, number>()

  const rememberRemoved = (entry: TableEntry): void => {
    removed.set(entry.id, entry.incarnation)
    const [oldest] = removed.keys()
    if (oldest !== undefined && removed.size > maxRemoved) {
      removed.delete(oldest)
    }
  }

  const add = (update: MemberUpdate): TableEntry | undefined => {
    const removedIncarnation = removed.get(update.id)
    if (removedIncarnation !== undefined && update.incarnation <= removedIncarnation) {
      return undefined
    }
    removed.delete(update.id)
    const entry = { ...update, listed: false, listedLeaving: false, zone: '', region: '' }
    entries.set(update.id, entry)
    return entry
  }

  const change = (update: MemberUpdate, current: TableEntry): TableEntry | undefined => {
    if (!supersedes(update, current) && !announcesLeaving(update, current)) {
      return undefined
    }
    const entry = merged(update, current)
    entries.set(update.id, entry)
    return entry
  }

  const addListed = (nodes: readonly ListedNode[]): TableEntry[] => {
    const changed: TableEntry[] = []
    for (const node of nodes) {
      const current = entries.get(node.id)
      const entry = listedEntry(node, current)
      if (node.id !== self && differs(current, entry)) {
        entries.set(node.id, entry)
        changed.push(entry)
      }
    }
    return changed
  }

  const removeUnlisted = (nodes: readonly ListedNode[]): TableEntry[] => {
    const present = new Set(nodes.map(({ id }) => id))
    const unlisted = [...entries.values()].filter(entry => entry.listed && !present.has(entry.id))
    for (const entry of unlisted) {
      entries.delete(entry.id)
      rememberRemoved(entry)
    }
    return unlisted
  }

  return {
    get: id => entries.get(id),
    ids: () => entries.keys(),
    get size () { return entries.size },
    merge (update) {
      const current = entries.get(update.id)
      return current === undefined ? add(update) : change(update, current)
    },
    applyList (nodes) {
      return { changed: addListed(nodes), removed: removeUnlisted(nodes) }
    }
  }
}
