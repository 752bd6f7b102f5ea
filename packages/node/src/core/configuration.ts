/** The current configuration, reduced from the log or received from a peer during a log outage. */
import { createConfigReducer, createSnapshotSchedule, splitConfigSnapshot, validateConfig, type ConfigReducer, type ConfigState, type LogTail, type ReducedRecord, type TailProgress } from '@yuccawharf/coordination'
import type { AdapterConfig, ClassConfig, ModelConfig } from '@yuccawharf/schema'
import type { CoreContext } from './core-context'
import type { LogStreams } from './log-streams'
import type { Peers } from './peers'

export type Configuration = {
  tick (now: number): void
  /** Receives the configuration revision of a peer. */
  revisionSeen (from: string, revision: number, now: number): void
  receiveRequest (from: string): void
  receiveState (state: ConfigState, now: number): void
  classes (): Record<string, ClassConfig>
  model (name: string): ModelConfig | undefined
  adapter (name: string): AdapterConfig | undefined
  state (): ConfigState | undefined
  outcome: ConfigReducer['outcome']
  /** @returns why new work cannot be accepted now, or undefined */
  refusalReason (now: number): string | undefined
  readonly revision: number
}

const snapshotMaxRecords = 2_000
const snapshotTurnMs = 5_000
/** A longer interval between steps means that the process was paused, in ms; ticks arrive every 50 ms. */
const pauseThresholdMs = 1_000
/** Minimum interval between requests to peers, in ms. */
const requestIntervalMs = 1_000

/**
 * @param peers - passed as a function, because the peers are created later and need the revision
 * @param onChange - called after the revision has changed
 */
export const createConfiguration = (ctx: CoreContext, streams: LogStreams, peers: () => Peers, onChange: (now: number) => void): Configuration => {
  const { cfg } = ctx
  const reducer = createConfigReducer({ validate: validateConfig })
  const schedule = createSnapshotSchedule({ self: cfg.node, retentionMs: cfg.logRetentionMs, maxRecords: snapshotMaxRecords, turnMs: snapshotTurnMs })
  let revision = -1
  let highestSeen = -1
  let ready = false
  let peerContactAt = -Infinity
  let lastActiveAt: number | undefined
  let contactCountsFrom = -Infinity
  let requestedAt = -Infinity
  let startedAt: number | undefined
  let classes: Record<string, ClassConfig> = {}

  const setRevision = (next: number, now: number): void => {
    if (next === revision) {
      return
    }
    ctx.check(next > revision, `configuration goes back from revision ${revision} to ${next}`)
    revision = next
    const { view } = reducer
    const names = [...view.keys()].filter(key => key.startsWith('class/'))
    classes = Object.fromEntries(names.map(key => [key.slice('class/'.length), view.get(key) as ClassConfig]))
    ctx.record('config', {}, `revision ${revision}`)
    onChange(now)
  }

  const recordSnapshot = (reduced: ReducedRecord, now: number): void => {
    if (reduced.type === 'snapshot') {
      schedule.snapshotRead(reduced.revision, now)
    }
  }

  const applyRecords = ({ gap, records }: TailProgress, now: number): void => {
    if (gap !== undefined) {
      reducer.skipTo(gap.to)
    }
    records.flatMap(entry => reducer.apply(entry)).forEach(reduced => recordSnapshot(reduced, now))
    ready ||= reducer.complete && tail.caughtUp
    setRevision(reducer.revision, now)
  }

  const tail: LogTail = streams.follow('config', {
    read: (progress, _bounds, now) => applyRecords(progress, now),
    readFailed: () => {}
  })

  /** Messages that were queued during a pause of this process are outdated, so for a while messages do not count as contact. */
  const detectPause = (now: number): void => {
    if (lastActiveAt !== undefined && now - lastActiveAt > pauseThresholdMs) {
      contactCountsFrom = now + pauseThresholdMs
    }
    lastActiveAt = now
  }

  const isBehind = (): boolean => highestSeen > revision

  const requestState = (from: string, now: number): void => {
    if (now - requestedAt >= requestIntervalMs) {
      requestedAt = now
      peers().send(from, { type: 'config-request' })
    }
  }

  /** Newer revisions are read from the log, or requested from the peer when the log is unavailable or incomplete. */
  const catchUp = (from: string, now: number): void => {
    tail.requestRead()
    if (!streams.reachable || !reducer.complete) {
      requestState(from, now)
    }
  }

  const appendSnapshot = (now: number): void => {
    const state = reducer.state()
    if (state === undefined || !streams.reachable || !schedule.isDue(reducer.nextOffset, peers().live(), now)) {
      return
    }
    schedule.appendStarted(now)
    streams.append('config', splitConfigSnapshot(state, `${cfg.node}/${cfg.incarnation}/${reducer.nextOffset}`), () => {})
  }

  const requestFromPeer = (now: number): void => {
    const others = peers().live().filter(({ id }) => id !== cfg.node)
    const chosen = others[Math.floor(ctx.uniform() * others.length)]
    if ((!ready || isBehind()) && !streams.reachable && chosen !== undefined) {
      requestState(chosen.id, now)
    }
  }

  const lastContactAt = (): number => {
    const log = tail.lastContact ?? -Infinity
    return cfg.staleness === 'refuse' ? log : Math.max(log, peerContactAt)
  }

  return {
    tick (now) {
      startedAt ??= now
      detectPause(now)
      requestFromPeer(now)
      appendSnapshot(now)
    },
    revisionSeen (from, peerRevision, now) {
      detectPause(now)
      highestSeen = Math.max(highestSeen, peerRevision)
      if (peerRevision === revision && now >= contactCountsFrom) {
        peerContactAt = Math.max(peerContactAt, now)
      }
      if (peerRevision > revision) {
        catchUp(from, now)
      }
    },
    receiveRequest (from) {
      const state = reducer.state()
      if (state !== undefined && ready) {
        peers().send(from, { type: 'config-state', state })
      }
    },
    receiveState (state, now) {
      const stateRevision = state.entries.reduce((newest, entry) => Math.max(newest, entry.revision), -1)
      if (ctx.hooks.acceptOlderConfig === true && stateRevision < revision) {
        setRevision(stateRevision, now)
      }
      if (reducer.adopt(state)) {
        tail.skipTo(state.position)
        ready = true
        setRevision(reducer.revision, now)
      }
    },
    classes: () => classes,
    model: name => reducer.view.get(`model/${name}`) as ModelConfig | undefined,
    adapter: name => reducer.view.get(`adapter/${name}`) as AdapterConfig | undefined,
    state: () => reducer.state(),
    outcome: reducer.outcome,
    refusalReason (now) {
      if (!ready) {
        return 'the node has not read the configuration yet'
      }
      if (isBehind()) {
        return 'the node is behind the configuration of its peers'
      }
      return now - Math.max(lastContactAt(), startedAt ?? now) > cfg.stalenessMs ? 'the node has lost contact with the log and its peers' : undefined
    },
    get revision () {
      return revision
    }
  }
}
