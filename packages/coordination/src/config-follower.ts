/**
 * One node's copy of the configuration: follows the log, catches up from peers while the log does
 * not answer, appends snapshots in turn, and knows whether the copy is fresh enough to act on.
 */
import type { LogPage } from '@yuccawharf/clients'
import type { SnapshotRecord } from '@yuccawharf/schema'
import type { RandomGenerator } from 'pure-rand'
import type { BackoffConfig } from './backoff'
import type { ConcurrencyControl } from './config-concurrency'
import { createConfigReducer, type ConfigReducer, type ReducedRecord } from './config-reducer'
import { createSnapshotSchedule, snapshotRecords } from './config-snapshot'
import type { ConfigState, ConfigValidator } from './config-types'
import { createLogTail, type ReadLogAction } from './log-tail'
import type { RendezvousNode } from './rendezvous'

export type ConfigFollowerConfig = {
  node: string
  incarnation: number
  validate: ConfigValidator
  control?: ConcurrencyControl
  readTimeoutMs: number
  pollMs: number
  backoff: BackoffConfig
  random: RandomGenerator
  /** Without contact for longer than this, in ms, the copy is not fresh. */
  stalenessMs: number
  /** A node that is behind a peer for this time, in ms, asks it for its state. */
  catchUpMs: number
  retentionMs: number
  /** Records after which a snapshot is due. */
  snapshotRecords: number
  /** Time between the turns of snapshot writers, in ms. */
  turnMs: number
  /** A step this much later than the last one, in ms, means that the process was paused. */
  pauseMs: number
}

export const configFollowerDefaults = {
  readTimeoutMs: 2000,
  pollMs: 0,
  backoff: { minMs: 100, maxMs: 1000 },
  stalenessMs: 6000,
  catchUpMs: 500,
  retentionMs: 3_600_000,
  snapshotRecords: 2000,
  turnMs: 5000,
  pauseMs: 1000
}

export type ConfigFollower = {
  /** Call at least four times per `pauseMs`. @returns the read of the log that is due */
  poll (now: number): ReadLogAction | undefined
  page (page: LogPage, now: number): ReducedRecord[]
  expired (first: number, next: number, now: number): void
  readFailed (now: number): void
  /** Notes the revision that came with a message of a peer. */
  peerRevision (peer: string, revision: number, now: number): void
  /** @returns the peer to ask for its state, when this node is behind and the log has not helped */
  peerToAsk (now: number): string | undefined
  /** @returns true when the peer's state was newer and is now in force */
  adopt (state: ConfigState): boolean
  /** @returns the records of a snapshot that this node should append now */
  dueSnapshot (live: readonly RendezvousNode[], now: number): SnapshotRecord[] | undefined
  /** False while the copy may be older than the staleness bound: new work is refused as not run. */
  isFresh (now: number): boolean
  readonly reducer: ConfigReducer
}

type Ahead = { peer: string, revision: number, since: number }

/**
 * @param cfg - identity, rules and times
 * @returns a follower with an empty configuration that is not fresh
 */
export const createConfigFollower = (cfg: ConfigFollowerConfig): ConfigFollower => {
  const reducer = createConfigReducer({ validate: cfg.validate, ...(cfg.control === undefined ? {} : { control: cfg.control }) })
  const tail = createLogTail({ stream: 'config', readTimeoutMs: cfg.readTimeoutMs, pollMs: cfg.pollMs, backoff: cfg.backoff, random: cfg.random })
  const schedule = createSnapshotSchedule({ self: cfg.node, retentionMs: cfg.retentionMs, maxRecords: cfg.snapshotRecords, turnMs: cfg.turnMs })
  let ahead: Ahead | undefined
  let peerContact = -Infinity
  let seenAt: number | undefined
  let messagesCountFrom = -Infinity
  let started = false
  let snapshots = 0

  /** Messages that waited while this process was paused tell the past, so contact by messages counts only after a while. */
  const notePause = (now: number): void => {
    if (seenAt !== undefined && now - seenAt > cfg.pauseMs) {
      messagesCountFrom = now + cfg.pauseMs
    }
    seenAt = now
  }

  const noteProgress = (): void => {
    started ||= reducer.complete && tail.caughtUp
    if (ahead !== undefined && reducer.complete && reducer.revision >= ahead.revision) {
      ahead = undefined
    }
  }

  const noteSnapshots = (reduced: readonly ReducedRecord[], now: number): void => {
    for (const record of reduced) {
      if (record.type === 'snapshot') {
        schedule.seen(record.revision, now)
      }
    }
  }

  return {
    poll (now) {
      notePause(now)
      return tail.poll(now)
    },
    page (page, now) {
      notePause(now)
      const progress = tail.page(page, now)
      if (progress.gap !== undefined) {
        reducer.gap(progress.gap.to)
      }
      const reduced = progress.records.flatMap(entry => reducer.apply(entry))
      noteSnapshots(reduced, now)
      noteProgress()
      return reduced
    },
    expired (first, next, now) {
      notePause(now)
      const { gap } = tail.expired(first, next, now)
      if (gap !== undefined) {
        reducer.gap(gap.to)
      }
    },
    readFailed (now) {
      notePause(now)
      tail.failed(now)
    },
    peerRevision (peer, revision, now) {
      notePause(now)
      if (revision > reducer.revision || !reducer.complete) {
        tail.wake()
        if (ahead === undefined || revision > ahead.revision) {
          ahead = { peer, revision, since: ahead?.since ?? now }
        }
        return
      }
      if (revision === reducer.revision && started && now >= messagesCountFrom) {
        peerContact = now
      }
    },
    peerToAsk (now) {
      if (ahead === undefined || now - ahead.since < cfg.catchUpMs) {
        return undefined
      }
      const { peer } = ahead
      ahead = undefined
      return peer
    },
    adopt (state) {
      if (!reducer.adopt(state)) {
        return false
      }
      tail.skipTo(reducer.position)
      started = true
      noteProgress()
      return true
    },
    dueSnapshot (live, now) {
      if (!started || !schedule.due(reducer.position, live, now)) {
        return undefined
      }
      const state = reducer.state()
      if (state === undefined) {
        return undefined
      }
      schedule.started(now)
      snapshots += 1
      return snapshotRecords(state, `${cfg.node}/${cfg.incarnation}/${snapshots}`)
    },
    isFresh (now) {
      const contact = Math.max(tail.lastContact ?? -Infinity, peerContact)
      return started && reducer.complete && now - contact <= cfg.stalenessMs
    },
    reducer
  }
}
