/**
 * Chooses an engine from which another one fetches kept prompt parts in place of prefilling them. Answers
 * loads in which several engines serve an adapter whose requests share long prompt parts.
 */
import type { ModelDemand } from './cluster-types'
import { nominalTokensPerMs } from './engine-speed'
import { prefillTokensPerMs, uncachedTokens, type EngineState } from './engine-state'
import { cacheScope } from './prompt-cache'
import { softwareVersionOf } from './software-versions'

/** `tokens` are fetched, which saves `savedMs` of prefill, or `savedNominalMs` at speed 1. */
export type PromptSource = { engine: EngineState, tokens: number, savedMs: number, savedNominalMs: number }

/** Fewer tokens are prefilled within a few batch steps, so a fetch saves nothing that a caller notices. */
const minFetchTokens = 1000
/** Largest time of a fetch as a share of the prefill time. Transfers of an engine run one after another, so slow ones delay each other. */
const maxFetchShare = 0.2

/** @returns time to fetch one token's memory, in ms; undefined if the link's speed is not stated */
function fetchMsPerToken ({ spec: { kvTokenBytes, linkMbps } }: EngineState): number | undefined {
  return kvTokenBytes === undefined || linkMbps === undefined ? undefined : kvTokenBytes * 8 / (linkMbps * 1000)
}

/** Whether the source's memory of the adapter's prompts is of use to the target, and near. */
function mayFetch (source: EngineState, target: EngineState, scope: string, now: number): boolean {
  const [from, to] = [source.replicas.get(scope), target.replicas.get(scope)]
  return source !== target && source.server.service === target.server.service && source.server.zone === target.server.zone && source.server.state === 'ready' &&
    source.avoidedUntil <= now && softwareVersionOf(source.server) === softwareVersionOf(target.server) && from?.state === 'resident' && from.version === to?.version
}

/** @returns the engine that spares the target the most prefill, if a fetch is worth it */
export function choosePromptSource (engines: Iterable<EngineState>, target: EngineState, demand: ModelDemand, now: number): PromptSource | undefined {
  const tokenMs = fetchMsPerToken(target)
  const prefillTokenMs = 1 / prefillTokensPerMs(target, now)
  if (demand.adapter === undefined || tokenMs === undefined || tokenMs > prefillTokenMs * maxFetchShare) return undefined
  const scope = cacheScope(demand)
  const missing = uncachedTokens(target, demand)
  let best: PromptSource | undefined
  for (const engine of engines) {
    if (!mayFetch(engine, target, scope, now)) continue
    const tokens = missing - uncachedTokens(engine, demand)
    if (tokens < minFetchTokens || tokens <= (best?.tokens ?? 0)) continue
    best = { engine, tokens, savedMs: tokens * (prefillTokenMs - tokenMs), savedNominalMs: tokens * (1 / nominalTokensPerMs - tokenMs) }
  }
  return best
}
