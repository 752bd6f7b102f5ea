/**
 * Decides when a node appends an owner record. A wrong decision costs an invalid record or
 * an unnecessary change of owner; the order of the log alone decides who the owner is.
 */
import type { AppendResult } from '@yuccawharf/clients'
import type { OwnerRecord } from '@yuccawharf/schema'
import type { ProcessId } from './ownership-types'

export type TakeoverPolicyConfig = ProcessId & {
  /** The n-th candidate waits (n - 1) times this, in ms. */
  takeoverDelayMs: number
  /** Minimum time between two takeovers of engines of live owners by a node, in ms. */
  rebalanceMs: number
  /** Time after which a record that was neither read back nor proved absent is appended again, in ms. */
  retryMs: number
}

export const takeoverDefaults = { takeoverDelayMs: 2_000, rebalanceMs: 60_000, retryMs: 1_000 }

/** State of one engine of the node's region, from which a takeover is decided. */
export type TakeoverInput = {
  engine: string
  /** Offset of the latest valid owner record, or -1. */
  latest: number
  /** Fencing token of the current term, or -1. */
  term: number
  /** `self` is this process; an earlier process of this node is `down`. */
  owner: 'none' | 'self' | 'live' | 'leaving' | 'down'
  /** This node's position among the candidates, from 0; undefined when it is not a candidate. */
  rank: number | undefined
}

export type TakeoverPolicy = {
  /** @returns owner records to append; they may share one append */
  decide (engines: TakeoverInput[], now: number): OwnerRecord[]
  /** Handles the result of appending the records for these engines. */
  appendFinished (engines: string[], result: AppendResult, now: number): void
}

type Vacancy = { latest: number, since: number }
/** Recent changes of owner of one engine. */
type OwnerChanges = { term: number, count: number, at: number }
type PendingRecord = { after: number, retryAt: number }

/** Without a hold-off two nodes that consider each other dead would take an engine from each other at every decision. */
const firstHoldOffMs = 2_000
const maxHoldOffMs = 60_000

/** @returns the takeover policy of one process */
export const createTakeoverPolicy = (cfg: TakeoverPolicyConfig): TakeoverPolicy => {
  const vacancies = new Map<string, Vacancy>()
  const pending = new Map<string, PendingRecord>()
  const ownerChanges = new Map<string, OwnerChanges>()
  let rebalanceAt: number | undefined

  const recordOwnerChange = ({ engine, term }: TakeoverInput, now: number): void => {
    const recorded = ownerChanges.get(engine)
    if (recorded?.term === term) {
      return
    }
    const isRecent = recorded !== undefined && now - recorded.at < maxHoldOffMs
    ownerChanges.set(engine, { term, count: isRecent ? recorded.count + 1 : 0, at: now })
  }

  /** An owner record proves that its writer was alive recently, so each further change in quick succession doubles the hold-off. */
  const holdOffMs = (engine: string): number => {
    const count = ownerChanges.get(engine)?.count ?? 0
    return count < 2 ? 0 : Math.min(maxHoldOffMs, firstHoldOffMs * 2 ** (count - 2))
  }

  const vacantSince = (input: TakeoverInput, now: number): number => {
    const vacancy = vacancies.get(input.engine)
    if (vacancy?.latest === input.latest) {
      return vacancy.since
    }
    const since = input.owner === 'down' ? now + holdOffMs(input.engine) : now
    vacancies.set(input.engine, { latest: input.latest, since })
    return since
  }

  const isDue = (input: TakeoverInput, now: number): boolean => {
    recordOwnerChange(input, now)
    if (input.owner === 'self' || input.owner === 'live') {
      vacancies.delete(input.engine)
      return false
    }
    const since = vacantSince(input, now)
    return input.rank !== undefined && now - since >= input.rank * cfg.takeoverDelayMs
  }

  const isPending = (input: TakeoverInput, now: number): boolean => {
    const record = pending.get(input.engine)
    if (record === undefined) {
      return false
    }
    if (record.after !== input.latest || now >= record.retryAt) {
      pending.delete(input.engine)
      return false
    }
    return true
  }

  const recordFor = (input: TakeoverInput, now: number): OwnerRecord => {
    pending.set(input.engine, { after: input.latest, retryAt: now + cfg.retryMs })
    return { type: 'owner', engine: input.engine, node: cfg.node, incarnation: cfg.incarnation, after: input.latest }
  }

  const rebalance = (engines: TakeoverInput[], now: number): TakeoverInput[] => {
    rebalanceAt ??= now + cfg.rebalanceMs
    if (now < rebalanceAt) {
      return []
    }
    const preferred = engines.find(input => input.owner === 'live' && input.rank === 0)
    if (preferred === undefined) {
      return []
    }
    rebalanceAt = now + cfg.rebalanceMs
    return [preferred]
  }

  return {
    decide (engines, now) {
      const due = engines.filter(input => isDue(input, now) && !isPending(input, now))
      const chosen = due.length > 0 ? due : rebalance(engines, now)
      return chosen.map(input => recordFor(input, now))
    },
    appendFinished (engines, result, now) {
      for (const engine of engines) {
        const record = pending.get(engine)
        // Appending a record again is harmless after any result: both have the same `after`, so at most one is valid.
        if (record !== undefined) {
          record.retryAt = now + cfg.retryMs * (result.type === 'unknown' ? 2 : 1)
        }
      }
    }
  }
}
