/** Summary of a demo run: measurements and violated guarantees. */
import { expectedText, type EngineModel, type PlainServiceModel } from '@yuccawharf/stand-ins'
import type { CallerRequest, CallerResult, OrderResult } from './demo-caller'

export type DemoRequest = CallerRequest & { adapter: string, version: string, result: CallerResult }

export type TimelineEvent = { time: number, kind: string, request?: string, adapter?: string }

export type DemoOutcome = {
  requests: DemoRequest[]
  orders: OrderResult[]
  events: TimelineEvent[]
  engines: Map<string, EngineModel>
  service: PlainServiceModel
  batchSize: number
  tookMs: number
}

export type DemoSummary = { lines: string[], broken: string[] }

function percentile (values: number[], fraction: number): number {
  const sorted = [...values].sort((first, second) => first - second)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Compares each response, token by token, with the expected output of its adapter and version. */
function checkRequests (requests: DemoRequest[]): string[] {
  return requests.flatMap(({ id, adapter, version, prompt, maxTokens, result }) => {
    const faults = result.faults.map(fault => `${id}: ${fault}`)
    if (result.text === undefined) return [...faults, `${id}: no complete response`]
    if (result.text !== expectedText(id, adapter, version, prompt, maxTokens)) faults.push(`${id}: the response is not that of ${adapter}@${version}`)
    if (result.count !== maxTokens) faults.push(`${id}: ${result.count} tokens instead of ${maxTokens}`)
    return faults
  })
}

function checkOrders (orders: OrderResult[], service: PlainServiceModel): string[] {
  return orders.flatMap(({ key, outcome }) => {
    const executions = service.executions(key)
    if (executions > 1) return [`order ${key} ran ${executions} times`]
    if (outcome === 'not-run' && executions > 0) return [`order ${key} was refused as not run but ran`]
    if (outcome === 'done' && executions !== 1) return [`order ${key} was confirmed but did not run`]
    return []
  })
}

/** Time in ms that each request waited for its adapter's load: from its arrival to the end of the load, 0 when it arrived later. */
function loadStalls (requests: DemoRequest[], events: TimelineEvent[]): number[] {
  const loadedAt = new Map<string, number>()
  const handles = new Map<string, string>()
  for (const { kind, adapter, request, time } of events) {
    if (kind === 'load-result' && adapter !== undefined) loadedAt.set(adapter, time)
    if (kind === 'dispatch' && adapter !== undefined && request !== undefined) handles.set(request, adapter)
  }
  return requests.map(({ id, result }) => Math.max(0, (loadedAt.get(handles.get(id) ?? '') ?? 0) - result.startedAt))
}

function engineTotals (engines: Map<string, EngineModel>): { steps: number, batchSum: number, tokens: number, evictedInUse: number } {
  const stats = [...engines.values()].map(engine => engine.stats())
  return {
    steps: sum(stats.map(({ steps }) => steps)),
    batchSum: sum(stats.map(({ batchSum }) => batchSum)),
    tokens: sum(stats.map(({ tokens }) => tokens)),
    evictedInUse: sum(stats.map(({ evictedInUse }) => evictedInUse))
  }
}

export function summarise (outcome: DemoOutcome): DemoSummary {
  const { requests, orders, events, engines, service, batchSize } = outcome
  const totals = engineTotals(engines)
  const broken = [...checkRequests(requests), ...checkOrders(orders, service)]
  if (totals.evictedInUse > 0) broken.push(`${totals.evictedInUse} requests were aborted because their adapters were evicted`)
  const stalls = loadStalls(requests, events)
  const stalled = stalls.filter(stall => stall > 0)
  const completed = requests.filter(({ result }) => result.text !== undefined)
  const firstTokens = completed.map(({ result }) => result.firstTokenMs)
  const totalOf = (valueOf: (result: CallerResult) => number): number => sum(requests.map(({ result }) => valueOf(result)))
  const done = orders.filter(order => order.outcome === 'done')
  const lines = [
    `requests           ${requests.length} over ${new Set(requests.map(({ adapter }) => adapter)).size} adapters in ${(outcome.tookMs / 1000).toFixed(1)} s`,
    `complete responses ${completed.length}, ${sum(completed.map(({ result }) => result.count))} tokens checked against adapter and version`,
    `first token        median ${percentile(firstTokens, 0.5).toFixed(0)} ms, 95 % ${percentile(firstTokens, 0.95).toFixed(0)} ms`,
    `retries            ${totalOf(result => result.resumed)} reconnections, ${totalOf(result => result.refusedNotRun)} refusals as not run, ${totalOf(result => result.unknown)} unknown outcomes retried by callers`,
    `load stalls        ${stalled.length} requests waited for a load: median ${percentile(stalled, 0.5).toFixed(0)} ms, 95 % ${percentile(stalled, 0.95).toFixed(0)} ms; ${events.filter(({ kind }) => kind === 'load').length} loads, ${events.filter(({ kind }) => kind === 'unload').length} evictions`,
    `batch efficiency   ${(100 * totals.batchSum / Math.max(1, totals.steps * batchSize)).toFixed(0)} % of the batch slots while engines ran`,
    `evicted in use     ${totals.evictedInUse}`,
    `orders             ${orders.length} sent twice each: ${done.length} done, ${orders.filter(order => order.outcome === 'not-run').length} not run, ${orders.filter(order => order.outcome === 'unknown').length} unknown; ${service.totalExecutions()} executions, none more than once${broken.some(fault => fault.startsWith('order')) ? ' EXCEPT those below' : ''}`
  ]
  return { lines, broken }
}
