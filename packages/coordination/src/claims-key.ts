/** Order keys: `SHARD.OFFSET-ID`. The offset is the lowest at which the shard's stream can contain a claim of the key. */

export const claimShardCount = 16

export type OrderKey = {
  shard: number
  /** The shard's stream contains no claim of the key below this offset. */
  offset: number
}

const keyPattern = /^(\d{1,2})\.(\d{1,15})-[\w-]{8,64}$/

/** @returns undefined when the text is not a key with a prefix that an address response can have issued */
export const parseOrderKey = (text: string): OrderKey | undefined => {
  const match = keyPattern.exec(text)
  if (match === null) {
    return undefined
  }
  const key = { shard: Number(match[1]), offset: Number(match[2]) }
  return key.shard < claimShardCount ? key : undefined
}

/** @returns the prefix of the keys that are issued while `offset` is the next offset of the shard's stream */
export const orderKeyPrefix = (shard: number, offset: number): string => `${shard}.${offset}-`

export const claimStream = (shard: number): string => `claims-${shard}`
