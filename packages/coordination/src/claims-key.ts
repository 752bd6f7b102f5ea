/** Keys of orders: `SHARD.OFFSET-ID`. The offset bounds where in the shard's stream a claim can be. */

export const claimShardCount = 16

export type OrderKey = {
  shard: number
  /** No claim of the key lies below this offset of the shard's stream. */
  offset: number
}

const keyPattern = /^(\d{1,2})\.(\d{1,15})-[\w-]{8,64}$/

/** @returns undefined when the text is not a key that an address response can have started */
export const parseOrderKey = (text: string): OrderKey | undefined => {
  const match = keyPattern.exec(text)
  if (match === null) {
    return undefined
  }
  const key = { shard: Number(match[1]), offset: Number(match[2]) }
  return key.shard < claimShardCount ? key : undefined
}

/** @returns the beginning of the keys that are given out while `offset` is the next offset of the shard */
export const orderKeyPrefix = (shard: number, offset: number): string => `${shard}.${offset}-`

export const claimStream = (shard: number): string => `claims-${shard}`
