/** How recent this node's knowledge of the configuration is, kept up by own reads and questions to other nodes. */
import { createConfigAge, type ConfigPosition } from './config-age'
import { createConfigQuestions, type ConfigQuestions } from './config-questions'
import type { Suspensions } from './dated-fact'
import type { DecisionLog } from './decision-log'
import type { Feeds } from './feeds'
import type { Fleet } from './fleet'
import type { GatewayMetrics } from './gateway-metrics'
import type { PeerLink } from './peer-link'

export type ConfigKnowledgeOptions = {
  self: { name: string, zone: string, incarnation: number }
  now (): number
  random (): number
  suspensions: Suspensions
  /** Time after which no request with a removed key may run, in ms; undefined if it is not bounded. */
  revokeMs (): number | undefined
  own (): ConfigPosition
  fleet: Pick<Fleet, 'peers' | 'address'>
  link: Pick<PeerLink, 'notify'>
  log: DecisionLog
  metrics: Pick<GatewayMetrics, 'gauge'>
  feeds (): Pick<Feeds, 'serverReader' | 'peerOperatorNext' | 'operatorReachable' | 'refreshOperator'>
  /** Fetches the records that the node has read. */
  fetchFrom (node: string): void
}

export type ConfigKnowledge = Pick<ConfigQuestions, 'receive'> & {
  revokeMs (): number | undefined
  /** This node has read the operators' records to their end at `asOf` or later. */
  read (asOf: number): void
  /** Whether requests with keys may be accepted. */
  isCurrent (): boolean
  /** Whether a peer has a newer version that the store does not have. */
  lacksVersion (): boolean
  /** Whether this node should read the store itself at once. */
  needsRead (): boolean
  tick (): void
}

export function createConfigKnowledge (options: ConfigKnowledgeOptions): ConfigKnowledge {
  const { self, now, fleet, feeds, log } = options
  const age = createConfigAge(options)
  let wasCurrent: boolean | undefined

  const questions = createConfigQuestions({
    self,
    now,
    random: options.random,
    age,
    own: options.own,
    peers: fleet.peers,
    zoneReader: () => feeds().serverReader(),
    address: fleet.address,
    notify: options.link.notify,
    behind (node, next) {
      feeds().peerOperatorNext(next)
      if (!feeds().operatorReachable() || age.lacksVersion(now())) options.fetchFrom(node)
    },
    malformed: reason => { log.warn('peer-message-failed', { reason }) }
  })

  function report (): void {
    if (options.revokeMs() === undefined) return
    const isCurrent = age.isCurrent(now())
    const ageMs = age.ageMs(now())
    options.metrics.gauge('config_age_ms', ageMs)
    if (isCurrent === wasCurrent) return
    wasCurrent = isCurrent
    log.info('keys-accepted', { accepted: isCurrent, ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, version: options.own().version })
  }

  return {
    receive: questions.receive,
    revokeMs: options.revokeMs,
    read: age.read,
    isCurrent: () => age.isCurrent(now()),
    lacksVersion: () => age.lacksVersion(now()),
    needsRead: () => age.needsRead(now()),
    tick () {
      questions.tick()
      if (age.needsRead(now())) feeds().refreshOperator()
      report()
    }
  }
}
