/** Estimates which prompt parts an engine has cached. Each part belongs to one adapter; the least recently used are evicted first. */
import type { ModelDemand } from './cluster-types'

export type PromptCache = {
  /** Tokens at the start of the prompt that are cached and need no prefill. */
  cachedTokens (demand: ModelDemand): number
  /** Records that a request with this prompt is sent to the engine. */
  use (demand: ModelDemand): void
  /** Removes the parts of an adapter that was unloaded. */
  drop (scope: string): void
  clear (): void
}

/** @returns the scope in which an engine caches prompt parts: model and adapter */
export function cacheScope ({ model, adapter }: { model: string, adapter?: string }): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

/** @returns ids of the parts that the prompt may share with other requests: all but the last */
export function sharedPartIds ({ parts }: ModelDemand): string[] {
  return parts.slice(0, -1).map(({ id }) => id)
}

/** Parts that are remembered at most: clients choose how small they are. */
const maxParts = 2048

/** @param capacityTokens - memory for parts that no running request uses, in tokens */
export function createPromptCache (capacityTokens: number): PromptCache {
  // A Map iterates in insertion order, so the first key is the least recently used one.
  const parts = new Map<string, { scope: string, tokens: number }>()
  let total = 0

  function remove (key: string): void {
    total -= parts.get(key)?.tokens ?? 0
    parts.delete(key)
  }

  function trim (): void {
    for (const key of parts.keys()) {
      if (total <= capacityTokens && parts.size <= maxParts) return
      remove(key)
    }
  }

  return {
    cachedTokens (demand) {
      const scope = cacheScope(demand)
      let cached = 0
      // A part counts only if all parts before it are cached.
      for (const part of demand.parts) {
        if (!parts.has(`${scope}#${part.id}`)) break
        cached += part.tokens
      }
      return cached
    },
    use (demand) {
      const scope = cacheScope(demand)
      for (const part of demand.parts) {
        const key = `${scope}#${part.id}`
        remove(key)
        parts.set(key, { scope, tokens: part.tokens })
        total += part.tokens
      }
      trim()
    },
    drop (scope) {
      for (const [key, part] of parts) {
        if (part.scope === scope) remove(key)
      }
    },
    clear () {
      parts.clear()
      total = 0
    }
  }
}
