/**
 * Finds requests that crash the servers that run them and come again, at any node. Each node reports a
 * request that was lost with its server to a few nodes, the same ones for all repeats of a request.
 */
import { rankNodes } from '@yuccawharf/coordination'
import type { BackendServer } from './cluster-types'
import { createCrashEvidence, replyMs, settleMs, type EngineLoss, type EvidenceAction, type EvidenceMessage } from './crash-evidence'
import type { DecisionLog } from './decision-log'
import type { RunOutcome } from './engine-scheduler'
import type { PartBlocking } from './part-blocking'
import { isRequestKey, requestKey } from './request-digest'
import { startKey } from './server-registry'

export type RequestCrashesOptions = {
  self: string
  now (): number
  log: Pick<DecisionLog, 'info'>
  blocking: Pick<PartBlocking, 'find' | 'wasBlocked' | 'block' | 'hold'>
  /** Names of the nodes that are not dead, this one included. */
  nodes (): string[]
  send (node: string, message: EvidenceMessage): void
  /** Calls back after a time, in ms. */
  after (delayMs: number, callback: () => void): void
}

/** One sending of a request to a server. */
export type RequestRun = {
  /** The server's response has begun. */
  responded (): void
  ended (outcome: RunOutcome): void
}

/** Sendings of one request. */
export type RequestRuns = { start (server: BackendServer): RequestRun }

export type CrashingRequest = { id: string, digest: string, service: string, deadlineAt: number }

/** A request that is refused because it, or a part of its prompt, crashes servers. */
export type BlockedRequest = { reason: string, remainingMs: number }

export type RequestCrashes = {
  runs (req: CrashingRequest): RequestRuns
  /** @param parts - ids of the shared parts of the request's prompt */
  blocked (digest: string, parts: readonly string[]): BlockedRequest | undefined
  /** Applies what another node has seen of a crash. */
  receive (from: string, message: EvidenceMessage): void
  /** Decides which requests are blocked; called every few tens or hundreds of ms. */
  tick (): void
}

/** Nodes that collect the reports about one request: some are left if one is lost or cannot be reached. */
const collectorCount = 3

/** @returns the keys of the requests that the message is about */
function keysOf (message: EvidenceMessage): string[] {
  switch (message.kind) {
    case 'loss': return message.loss.parts
    case 'cleared': return message.cleared.parts
    case 'suspected': return [message.suspected.part]
  }
}

export function createRequestCrashes (options: RequestCrashesOptions): RequestCrashes {
  const { self, now, log, blocking } = options
  let lastRun = 0
  let lastLossAt = -Infinity
  /** Whether a decision, or a question, is due soon. */
  let settling = false
  let asking = false
  const evidence = createCrashEvidence({
    isBlocked: key => blocking.find([key], now()) !== undefined,
    wasBlocked: blocking.wasBlocked,
    asksAll: true
  })

  function collectors (key: string): string[] {
    return rankNodes(key, options.nodes().map(id => ({ id }))).slice(0, collectorCount).map(({ id }) => id)
  }

  function send (nodes: Iterable<string>, message: EvidenceMessage): void {
    for (const node of new Set(nodes)) {
      if (node !== self) options.send(node, message)
    }
  }

  function tick (): void {
    perform(evidence.tick(now()))
  }

  /** Decides once the nodes have reported what they lost, for all that was lost meanwhile. */
  function settle (delayMs: number): void {
    settling = true
    options.after(delayMs, () => {
      settling = false
      tick()
      const restMs = lastLossAt + settleMs - now()
      if (restMs > 0) settle(restMs)
    })
  }

  /** Asks at once, and decides as soon as possible. */
  function decideSoon (): void {
    lastLossAt = now()
    if (!settling) settle(settleMs)
    if (asking) return
    asking = true
    options.after(0, () => {
      asking = false
      tick()
    })
  }

  function lost (loss: EngineLoss): void {
    log.info('request-lost', { ...loss })
    decideSoon()
  }

  /** @param from - node whose message is answered */
  function perform (actions: EvidenceAction[], from = self): void {
    for (const action of actions) {
      switch (action.type) {
        case 'block':
          blocking.block(action.part, action.engines)
          break
        case 'hold':
          blocking.hold(action.part, action.engines, action.forMs)
          break
        case 'ask':
          log.info('request-suspected', action.suspected)
          send(options.nodes(), { kind: 'suspected', suspected: action.suspected })
          options.after(replyMs, tick)
          break
        case 'reply':
          send([from], action.message)
          break
        case 'share':
          if (action.message.kind === 'loss') lost(action.message.loss)
          send(keysOf(action.message).flatMap(collectors), action.message)
      }
    }
  }

  return {
    runs: ({ id, digest, service, deadlineAt }) => ({
      start (server) {
        const run = `${id}#${++lastRun}`
        evidence.started({ id: run, service, engine: startKey(server), parts: [requestKey(digest)], startedAt: now(), deadlineAt })
        return {
          responded: () => evidence.firstEvent(run, now()),
          ended: outcome => perform(evidence.ended(run, outcome, now()))
        }
      }
    }),
    blocked (digest, parts) {
      const found = blocking.find([requestKey(digest), ...parts], now())
      if (found === undefined) return undefined
      const reason = isRequestKey(found.part) ? 'the request crashes servers' : `prompt part ${found.part} crashes engines`
      return { reason, remainingMs: found.remainingMs }
    },
    receive (from, message) {
      perform(evidence.receive(message, now()), from)
      if (message.kind === 'loss') decideSoon()
    },
    tick
  }
}
