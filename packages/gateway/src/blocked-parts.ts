/** Prompt parts that crash engines and are refused for a while, as all nodes know them. */

export type BlockedParts = {
  /**
   * @param ageMs - time since the part was blocked
   * @returns whether the part was not blocked before
   */
  add (part: string, ageMs: number, now: number): boolean
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

export function createBlockedParts (): BlockedParts {
  /** Time until which a part is blocked. */
  const until = new Map<string, number>()

  return {
    add (part, ageMs, now) {
      for (const [old, expiresAt] of until) {
        if (now - expiresAt > rememberMs) until.delete(old)
      }
      const known = until.get(part) ?? -Infinity
      const expiresAt = now - Math.max(0, ageMs) + blockMs
      if (now - expiresAt > rememberMs || expiresAt <= known) return false
      until.set(part, expiresAt)
      return known <= now && expiresAt > now
    },
    find (parts, now) {
      if (until.size === 0) return undefined
      for (const part of parts) {
        const remainingMs = (until.get(part) ?? -Infinity) - now
        if (remainingMs > 0) return { part, remainingMs }
      }
      return undefined
    },
    wasBlocked: part => until.has(part),
    size: now => [...until.values()].filter(expiresAt => expiresAt > now).length
  }
}
