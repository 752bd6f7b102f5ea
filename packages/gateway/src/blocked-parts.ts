/** Prompt parts and whole requests that crash servers and are refused for a while, as all nodes know them. */

export type BlockedParts = {
  /**
   * @param ageMs - time since the part was blocked
   * @returns whether the part was not blocked before
   */
  add (part: string, ageMs: number, now: number): boolean
  /** Refuses a part for a short time, while it is not known whether it is to be blocked. */
  hold (part: string, forMs: number, now: number): void
  /** The part is neither blocked nor held any more, and counts as never blocked. @returns whether it was refused */
  remove (part: string, now: number): boolean
  /** @returns the first of the parts that is blocked, and for how much longer */
  find (parts: readonly string[], now: number): { part: string, remainingMs: number } | undefined
  /** Whether the part is blocked or was until recently. */
  wasBlocked (part: string): boolean
  size (now: number): number
}

/** Time for which a part is blocked, in ms. After it one crash is enough to block the part again. */
const blockMs = 600_000
/** Time for which expired parts are remembered, in ms. */
const rememberMs = 24 * 3_600_000
/** Limit of parts that are remembered; those that were blocked first are dropped. */
const maxParts = 5000

export function createBlockedParts (): BlockedParts {
  /** Time until which a part is blocked. */
  const until = new Map<string, number>()
  /** Time until which a part is held. */
  const held = new Map<string, number>()

  function remainingMs (part: string, now: number): number {
    return Math.max(until.get(part) ?? -Infinity, held.get(part) ?? -Infinity) - now
  }

  return {
    add (part, ageMs, now) {
      for (const [old, expiresAt] of until) {
        if (now - expiresAt > rememberMs) until.delete(old)
      }
      const known = until.get(part) ?? -Infinity
      const expiresAt = now - Math.max(0, ageMs) + blockMs
      if (now - expiresAt > rememberMs || expiresAt <= known) return false
      until.set(part, expiresAt)
      if (until.size > maxParts) until.delete(until.keys().next().value!)
      return known <= now && expiresAt > now
    },
    hold (part, forMs, now) {
      for (const [old, endsAt] of held) {
        if (endsAt <= now) held.delete(old)
      }
      held.set(part, Math.max(held.get(part) ?? -Infinity, now + forMs))
      if (held.size > maxParts) held.delete(held.keys().next().value!)
    },
    remove (part, now) {
      const refused = remainingMs(part, now) > 0
      until.delete(part)
      held.delete(part)
      return refused
    },
    find (parts, now) {
      if (until.size === 0 && held.size === 0) return undefined
      const part = parts.find(part => remainingMs(part, now) > 0)
      return part === undefined ? undefined : { part, remainingMs: remainingMs(part, now) }
    },
    wasBlocked: part => until.has(part),
    size: now => [...until.values()].filter(expiresAt => expiresAt > now).length
  }
}
