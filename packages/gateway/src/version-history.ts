/** The versions of one adapter that were announced. Each is to be in use a while after its own announcement, whatever follows it. */

/** `version` is undefined if the engine did not state it, `loadStartedAt` is -Infinity if another process commanded the load. */
export type LoadedVersion = { version?: number, loadStartedAt: number }

export type VersionHistory = {
  /**
   * @param at - earliest time of the announcement in ms, or -Infinity if it may have been long ago
   * @param heardAt - time at which this node heard of it, in ms
   * @returns whether the version is newer than all earlier ones
   */
  announce (version: number, at: number, heardAt: number): boolean
  /** @returns earliest time of the announcement that made a loaded version an older one; Infinity if there is none */
  outdatedSince (loaded: LoadedVersion): number
  newest (): number
  /** @returns the newest version of those announced up to then, if any was */
  newestAt (time: number): number | undefined
}

/** Announcements that are kept; the time of an earlier one then counts for its successor. */
const maxAnnouncements = 16

export function createVersionHistory (): VersionHistory {
  /** In the order of their versions. A load that began after `latestAt` got the version or a later one. */
  const announcements: { version: number, at: number, latestAt: number }[] = []

  return {
    announce (version, at, heardAt) {
      if (version <= (announcements.at(-1)?.version ?? -Infinity)) return false
      announcements.push({ version, at, latestAt: at === -Infinity ? Infinity : heardAt })
      if (announcements.length > maxAnnouncements) {
        const { at: earliest } = announcements.shift()!
        announcements[0]!.at = Math.min(announcements[0]!.at, earliest)
      }
      return true
    },
    outdatedSince ({ version, loadStartedAt }) {
      const oldest = version ?? announcements.findLast(({ latestAt }) => latestAt < loadStartedAt)?.version ?? -Infinity
      return announcements.find(announced => announced.version > oldest)?.at ?? Infinity
    },
    newest: () => announcements.at(-1)?.version ?? -Infinity,
    newestAt: time => announcements.findLast(({ at }) => at <= time)?.version
  }
}
