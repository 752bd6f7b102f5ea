/** Simulated prompt prefix cache of an engine: limited memory, delayed events with gaps. */
import { createSeededRandom, type Clock } from './clock'

/** `seq` counts all changes of the cache, so a jump indicates missing events. */
export type CacheEvent = { seq: number, type: 'stored' | 'evicted', block: number, at: number }

export type PrefixCacheModel = {
  /** Stores the prompt's blocks. @returns the number of tokens that were already cached */
  use (handle: string, prompt: string): number
  events (after: number): CacheEvent[]
  clear (): void
}

const blockCharacters = 64
const tokensPerBlock = 16
const maxStoredEvents = 2000

/** 32-bit FNV-1a hash of UTF-16 code units, continued from `start`. */
export function hashText (text: string, start = 0x811c9dc5): number {
  let hash = start
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return hash >>> 0
}

export function createPrefixCacheModel (options: { clock: Clock, blocks?: number, lagMs?: number, gapFraction?: number, seed?: number }): PrefixCacheModel {
  const { clock, blocks = 4096, lagMs = 500, gapFraction = 0.02 } = options
  const random = createSeededRandom(options.seed ?? 1)
  const cached = new Set<number>()
  let log: CacheEvent[] = []
  let seq = 0

  const publish = (type: CacheEvent['type'], block: number): void => {
    seq++
    if (!random.happens(gapFraction)) log.push({ seq, type, block, at: clock.now() })
    if (log.length > 2 * maxStoredEvents) log = log.slice(-maxStoredEvents)
  }

  // A set keeps insertion order, so adding a block again makes it the most recently used one.
  const touch = (block: number): boolean => {
    const hit = cached.delete(block)
    cached.add(block)
    if (hit) return true
    publish('stored', block)
    if (cached.size > blocks) {
      const [oldest] = cached
      cached.delete(oldest!)
      publish('evicted', oldest!)
    }
    return false
  }

  return {
    use (handle, prompt) {
      let block = hashText(handle)
      let hits = 0
      let unbroken = true
      for (let start = 0; start + blockCharacters <= prompt.length; start += blockCharacters) {
        block = hashText(prompt.slice(start, start + blockCharacters), block)
        unbroken = touch(block) && unbroken
        if (unbroken) hits++
      }
      return hits * tokensPerBlock
    },
    events: after => log.filter(event => event.seq > after && event.at <= clock.now() - lagMs),
    clear () { cached.clear() }
  }
}
