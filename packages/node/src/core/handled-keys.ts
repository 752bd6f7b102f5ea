/**
 * Records the keys that this node has handled, and queries the other nodes about a key while the log
 * cannot be read. Otherwise a node that alone has lost contact with the log would treat a key as
 * new that another node has sent.
 */
import type { CoreContext } from './core-context'
import type { Peers } from './peers'

export type HandledKeys = {
  /** Records a key that this node handles. */
  add (key: string): void
  has (key: string): boolean
  /** @param done - called with true when every listed node has replied that it has not handled the key */
  queryNodes (orderId: string, key: string, done: (isNew: boolean) => void, now: number): void
  receiveReply (from: string, orderId: string, seen: boolean): void
  tick (now: number): void
}

type KeyQuery = { pendingNodes: Set<string>, sentAt: number, done: (isNew: boolean) => void }

/** A node that does not reply within this time is assumed to have handled the key. */
const replyTimeoutMs = 500
/** Number of keys stored; at 100 orders per second and node they span the deadline of an order many times. */
const maxKeys = 20_000

export const createHandledKeys = (ctx: CoreContext, peers: Peers): HandledKeys => {
  const keys = new Set<string>()
  const queries = new Map<string, KeyQuery>()

  const finish = (orderId: string, query: KeyQuery, isNew: boolean): void => {
    queries.delete(orderId)
    query.done(isNew)
  }

  return {
    add (key) {
      keys.add(key)
      const [oldest] = keys
      if (oldest !== undefined && keys.size > maxKeys) {
        keys.delete(oldest)
      }
    },
    has: key => keys.has(key),
    queryNodes (orderId, key, done, now) {
      const others = peers.listedNodes().filter(id => id !== ctx.cfg.node)
      if (others.length === 0) {
        return done(true)
      }
      queries.set(orderId, { pendingNodes: new Set(others), sentAt: now, done })
      others.forEach(id => peers.send(id, { type: 'key-query', orderId, key }))
    },
    receiveReply (from, orderId, seen) {
      const query = queries.get(orderId)
      if (query === undefined) {
        return
      }
      query.pendingNodes.delete(from)
      if (seen || query.pendingNodes.size === 0) {
        finish(orderId, query, !seen)
      }
    },
    tick (now) {
      for (const [orderId, query] of queries) {
        if (now >= query.sentAt + replyTimeoutMs) {
          finish(orderId, query, false)
        }
      }
    }
  }
}
