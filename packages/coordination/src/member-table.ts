/** The members that a node knows, and the order of claims about them. */
import type { ListedNode, Member, MemberState, MemberUpdate } from './membership-types'

export type TableEntry = MemberUpdate & {
  listed: boolean
  listedLeaving: boolean
  zone: string
  region: string
}

const stateRank: Record<MemberState, number> = { alive: 0, suspect: 1, dead: 2 }

/**
 * Whether an update replaces what is known: a newer incarnation, then a newer refutation, then the
 * worse state.
 */
const supersedes = (update: MemberUpdate, known: MemberUpdate): boolean => {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation
  }
  if (update.refutation !== known.refutation) {
    return update.refutation > known.refutation
  }
  return stateRank[update.state] > stateRank[known.state]
}

const announcesLeaving = (update: MemberUpdate, known: MemberUpdate): boolean =>
  update.incarnation === known.incarnation && update.leaving && !known.leaving

/** Members removed by the platform are remembered so that late gossip cannot bring them back. */
const removedMax = 1024

export type MemberTable = {
  get (id: string): TableEntry | undefined
  ids (): Iterable<string>
  readonly size: number
  /** @returns the entry when the update told something new */
  merge (update: MemberUpdate): TableEntry | undefined
  /** @returns the entries that changed */
  list (nodes: readonly ListedNode[]): { changed: TableEntry[], removed: TableEntry[] }
}

/**
 * @param entry - an entry of the table
 * @returns the member as others see it
 */
export const memberOf = (entry: TableEntry): Member => ({
  id: entry.id,
  address: entry.address,
  incarnation: entry.incarnation,
  state: entry.state,
  leaving: entry.leaving || entry.listedLeaving,
  listed: entry.listed,
  zone: entry.zone,
  region: entry.region
})

const merged = (update: MemberUpdate, known: TableEntry): TableEntry => {
  const newer = supersedes(update, known)
  const sticky = known.incarnation === update.incarnation && known.leaving
  const base = newer ? { ...known, ...update } : known
  return { ...base, leaving: (newer ? update.leaving : known.leaving) || sticky || announcesLeaving(update, known) }
}

const listedEntry = (node: ListedNode, known: TableEntry | undefined): TableEntry => ({
  ...(known ?? { incarnation: 0, refutation: 0, state: 'alive', leaving: false }),
  id: node.id,
  // The list lags; what the member itself has announced is newer.
  address: known === undefined || known.incarnation === 0 ? node.address : known.address,
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

  const remember = (entry: TableEntry): void => {
    removed.set(entry.id, entry.incarnation)
    const [oldest] = removed.keys()
    if (oldest !== undefined && removed.size > removedMax) {
      removed.delete(oldest)
    }
  }

  const add = (update: MemberUpdate): TableEntry | undefined => {
    const ended = removed.get(update.id)
    if (ended !== undefined && update.incarnation <= ended) {
      return undefined
    }
    removed.delete(update.id)
    const entry = { ...update, listed: false, listedLeaving: false, zone: '', region: '' }
    entries.set(update.id, entry)
    return entry
  }

  const change = (update: MemberUpdate, known: TableEntry): TableEntry | undefined => {
    if (!supersedes(update, known) && !announcesLeaving(update, known)) {
      return undefined
    }
    const entry = merged(update, known)
    entries.set(update.id, entry)
    return entry
  }

  const addListed = (nodes: readonly ListedNode[]): TableEntry[] => {
    const changed: TableEntry[] = []
    for (const node of nodes) {
      const known = entries.get(node.id)
      const entry = listedEntry(node, known)
      if (node.id !== self && differs(known, entry)) {
        entries.set(node.id, entry)
        changed.push(entry)
      }
    }
    return changed
  }

  const removeUnlisted = (nodes: readonly ListedNode[]): TableEntry[] => {
    const present = new Set(nodes.map(({ id }) => id))
    const gone = [...entries.values()].filter(entry => entry.listed && !present.has(entry.id))
    for (const entry of gone) {
      entries.delete(entry.id)
      remember(entry)
    }
    return gone
  }

  return {
    get: id => entries.get(id),
    ids: () => entries.keys(),
    get size () { return entries.size },
    merge (update) {
      const known = entries.get(update.id)
      return known === undefined ? add(update) : change(update, known)
    },
    list (nodes) {
      return { changed: addListed(nodes), removed: removeUnlisted(nodes) }
    }
  }
}
