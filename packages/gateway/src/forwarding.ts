/** Forwards each request of a client to an engine or a plain service, with what applies to both. */
import type { ClientExchange } from './client-exchange'
import { forwardToEngine, type EngineForwarderEnv } from './engine-forwarder'
import { forwardPlain, type PlainForwarderEnv } from './plain-forwarder'
import { sharedPartIds } from './prompt-cache'
import type { RequestCrashes } from './request-crashes'
import type { Quotas } from './quotas'
import { requestDigest } from './request-digest'
import type { StreamVersions } from './stream-versions'

/** Differs from one request to the next. */
type PerRequest = 'runs' | 'blocked' | 'softwareVersion' | 'progress'

export type ForwardingOptions = Omit<EngineForwarderEnv & PlainForwarderEnv, PerRequest> & {
  crashes: Pick<RequestCrashes, 'runs' | 'blocked'>
  streamVersions: Pick<StreamVersions, 'required' | 'progress'>
  quotas: Pick<Quotas, 'admit'>
  /** Version of the configuration in force, if any has been read. */
  configVersion (): number | undefined
}

/** Number of prompt parts that the log names for a request. */
const maxLoggedParts = 8
/** Time after which a client may ask again for a stream whose software version is not known, in ms: a record may still be written. */
const unknownStreamRetryAfterMs = 1000

/** @returns a function that resolves when the request has ended */
export function createForwarding ({ crashes, streamVersions, quotas, configVersion, ...options }: ForwardingOptions): (exchange: ClientExchange) => Promise<void> {
  async function forward (exchange: ClientExchange): Promise<void> {
    const { route, service } = exchange
    const { id, demand, resumes, lastEventId } = exchange.metadata
    const digest = requestDigest({ req: exchange.req, body: exchange.body, demand })
    const parts = demand === undefined ? undefined : sharedPartIds(demand)
    options.log.info('request', { id, digest, route: route.name, service: service.name, kind: route.kind, deadlineInMs: Math.round(exchange.deadlineAt - options.now()), configVersion: configVersion(), adapter: demand?.adapter, sharedParts: parts?.slice(0, maxLoggedParts), resumes, lastEventId })
    const stream = { metadata: exchange.metadata, route, service: service.name, digest }
    const required = await streamVersions.required(stream)
    if (exchange.ended) return
    if (!required.known) return exchange.refuse({ status: 503, outcome: 'not-run' }, required.reason, unknownStreamRetryAfterMs)
    const env = {
      ...options,
      runs: crashes.runs({ id, digest, service: service.name, deadlineAt: exchange.deadlineAt }),
      softwareVersion: required.version,
      progress: streamVersions.progress(stream),
      blocked: () => crashes.blocked(digest, parts ?? [])
    }
    if (service.engine !== undefined && demand !== undefined) await forwardToEngine(exchange, env)
    else await forwardPlain(exchange, env)
  }

  /** Forwards the request if the limit of its account admits it. */
  return async exchange => {
    const { account, metadata } = exchange
    if (account?.quota === undefined) return await forward(exchange)
    const admission = await quotas.admit(account, metadata)
    if (admission.type === 'over-limit') return exchange.refuse({ status: 429, outcome: 'not-run' }, `account ${account.name} is above its limit`, admission.retryAfterMs)
    if (admission.type === 'unavailable') return exchange.refuse({ status: 503, outcome: 'not-run' }, `the limit of account ${account.name} cannot be checked`, admission.retryAfterMs)
    if (exchange.ended) return admission.refund()
    await forward(exchange)
    if (exchange.refusedNotRun) admission.refund()
  }
}
