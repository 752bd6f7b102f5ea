/** Simulates callers and operators. They send work, repeat orders and compare results with the ground truth. */
import type { Completion, Order, Refusal } from '@yuccawharf/node'
import { expectedText } from '@yuccawharf/stand-ins'
import { textOf, type RelayedResponse } from './relayed-response'
import type { Cluster } from './cluster'
import type { NodeProcess, OrderResult } from './node-process'
import { adapterCount, adapterName, orderKeyHeader, serviceGroup, type SimEnvironment } from './sim-environment'

/** Mean times between completions, orders and configuration changes. */
export type WorkloadRates = {
  completionIntervalMs: number
  orderIntervalMs: number
  changeIntervalMs: number
}

export type Workload = {
  start (): void
  finished (requestId: string, end: { type: 'done', response: RelayedResponse } | { type: 'refused', refusal: Refusal }): void
  orderFinished (orderId: string, result: OrderResult): void
  readonly totals: Record<string, number>
}

type Submission = { key: string | undefined, overlapped: boolean }
type KeyState = {
  /** Orders with this key that have no result yet. */
  pending: Set<string>
  /** The last order was refused as not run, and no order with this key has been sent since. */
  notRun: boolean
}

const promptCharacters = 40

export const createWorkload = (sim: SimEnvironment, cluster: () => Cluster, rates: WorkloadRates): Workload => {
  const { clock, random, checker, trace } = sim
  const requests = new Map<string, Completion>()
  const refusedNotRun = new Set<string>()
  const submissions = new Map<string, Submission>()
  const keys = new Map<string, KeyState>()
  const totals: Record<string, number> = {}
  let counter = 0

  const count = (what: string): void => { totals[what] = (totals[what] ?? 0) + 1 }
  const pick = <T>(items: readonly T[]): T | undefined => items.length === 0 ? undefined : items[random.between(0, items.length - 1)]
  const nextId = (prefix: string): string => `${prefix}${String(counter += 1).padStart(6, '0')}`
  const anyNode = (): NodeProcess | undefined => pick(cluster().nodes())

  /** Half of the requests choose among the first seventh of the adapters, the others among all. */
  const pickAdapter = (): string => adapterName(random.happens(0.5) ? random.between(0, Math.floor(adapterCount / 7)) : random.between(0, adapterCount - 1))

  const createCompletion = (): Completion => {
    const isShort = random.happens(0.6)
    return {
      requestId: nextId('r'),
      model: 'base',
      adapter: pickAdapter(),
      version: random.happens(0.8) ? '1' : '2',
      class: isShort ? 'short' : 'long',
      prompt: `p${random.between(0, 9)}`.padEnd(promptCharacters, '.'),
      maxTokens: isShort ? random.between(1, 24) : random.between(16, 96),
      deadline: clock.now() + (isShort ? 10_000 : 40_000)
    }
  }

  const submitCompletion = (): void => {
    const node = anyNode()
    if (node === undefined) {
      return
    }
    const completion = createCompletion()
    requests.set(completion.requestId, completion)
    sim.setExpectedAdapter(completion.requestId, `${completion.adapter}@${completion.version}`)
    trace.add(clock.now(), 'caller-submits', completion.requestId, node.id, `${completion.adapter}@${completion.version}`)
    count('completions')
    clock.after(1, () => node.process.run(() => node.streams.submit(completion)))
    if (random.happens(0.04)) {
      clock.after(random.between(1, 4000), () => cluster().nodes().forEach(({ process }) => process.deliver({ type: 'cancel', requestId: completion.requestId })))
    }
  }

  const checkText = (completion: Completion, response: RelayedResponse): void => {
    const { requestId, adapter, version, prompt, maxTokens } = completion
    const text = textOf(response.relay)
    const expected = expectedText(requestId, adapter, version, prompt, maxTokens)
    checker.check('P3', text === expected, () => `${requestId} got ${JSON.stringify(text?.slice(0, 80))} of ${response.relay.lastSeq()} tokens; ${JSON.stringify(expected.slice(0, 80))} of ${maxTokens} expected`, [requestId])
  }

  const finished: Workload['finished'] = (requestId, end) => {
    const completion = requests.get(requestId)
    trace.add(clock.now(), 'caller-gets', requestId, end.type === 'done' ? 'response' : end.refusal)
    checker.check('P3', completion !== undefined, () => `${requestId} ended a second time`, [requestId])
    if (completion === undefined) {
      return
    }
    requests.delete(requestId)
    if (end.type === 'done') {
      count('responses')
      checkText(completion, end.response)
      return
    }
    count(`completions ${end.refusal.outcome}`)
    if (end.refusal.outcome !== 'unknown') {
      checker.check('P4', !sim.hasRun(requestId), () => `${requestId} was refused as ${end.refusal.outcome} (${end.refusal.reason}) but an engine had accepted it`, [requestId])
      refusedNotRun.add(requestId)
    }
  }

  sim.onCompletionRun = requestId =>
    checker.check('P4', !refusedNotRun.has(requestId), () => `${requestId} runs after it was refused as not run`, [requestId])

  const createOrderKey = (): string | undefined => {
    const prefix = pick(cluster().running())?.core.addresses({ service: serviceGroup }, clock.now()).orderKeyPrefix
    return prefix === undefined ? undefined : `${prefix}${nextId('order-key-')}`
  }

  const sendOrder = (key: string | undefined): void => {
    const node = anyNode()
    if (node === undefined) {
      return
    }
    const orderId = nextId('o')
    const state = key === undefined ? undefined : keys.get(key) ?? { pending: new Set<string>(), notRun: false }
    const order: Order = {
      orderId,
      group: serviceGroup,
      ...(key === undefined ? {} : { key }),
      req: { method: 'POST', path: '/orders', headers: key === undefined ? {} : { [orderKeyHeader]: key }, body: Buffer.from(orderId) },
      deadline: clock.now() + random.between(3000, 10_000)
    }
    submissions.set(orderId, { key, overlapped: (state?.pending.size ?? 0) > 0 })
    if (key !== undefined && state !== undefined) {
      state.pending.forEach(other => { (submissions.get(other) as Submission).overlapped = true })
      state.pending.add(orderId)
      state.notRun = false
      keys.set(key, state)
    }
    count('orders')
    trace.add(clock.now(), 'caller-orders', orderId, key ?? '', node.id)
    clock.after(1, () => node.order(order))
  }

  const submitOrder = (): void => {
    const key = random.happens(0.75) ? createOrderKey() : undefined
    sendOrder(key)
    if (key !== undefined && random.happens(0.15)) {
      clock.after(random.between(0, 3000), () => sendOrder(key))
    }
  }

  const checkOrderResult = (orderId: string, { key }: Submission, body: Uint8Array): void => {
    const value = JSON.parse(Buffer.from(body).toString('utf8')) as { key?: string, error?: string }
    const isMatching = value.error !== undefined || value.key === key
    checker.check('P3', isMatching, () => `order ${orderId} with key ${key} got the response for ${value.key}`, [orderId, key ?? orderId])
  }

  const checkOrderNotRun = (orderId: string, submission: Submission, reason: string): void => {
    const { key } = submission
    if (key === undefined) {
      checker.check('P4', !sim.hasExecuted(orderId), () => `order ${orderId} was refused as not run (${reason}) but was executed`, [orderId])
      return
    }
    const state = keys.get(key)
    // While two orders with one key overlap, the caller cannot tell which of them ran.
    if (state === undefined || submission.overlapped || state.pending.size > 0) {
      return
    }
    checker.check('P4', sim.service.executions(key) === 0, () => `order ${key} was refused as not run (${reason}) but was executed`, [orderId, key])
    state.notRun = true
  }

  sim.onOrderKeyExecuted = key => {
    checker.check('P4', keys.get(key)?.notRun !== true, () => `order ${key} is executed after it was refused as not run`, [key])
  }

  const orderFinished: Workload['orderFinished'] = (orderId, result) => {
    const submission = submissions.get(orderId)
    trace.add(clock.now(), 'caller-gets', orderId, submission?.key ?? '', result.type === 'ok' ? 'response' : result.refusal)
    checker.check('P3', submission !== undefined, () => `order ${orderId} got a second result`, [orderId])
    if (submission === undefined) {
      return
    }
    submissions.delete(orderId)
    const { key } = submission
    keys.get(key ?? '')?.pending.delete(orderId)
    if (result.type === 'ok') {
      count('order results')
      checkOrderResult(orderId, submission, result.response.body)
      return
    }
    count(`orders ${result.refusal.outcome}`)
    if (result.refusal.outcome !== 'unknown') {
      checkOrderNotRun(orderId, submission, result.refusal.reason)
    }
    if (key !== undefined && random.happens(0.5)) {
      clock.after(random.between(100, 5000), () => sendOrder(key))
    }
  }

  const classWrite = (): [string, unknown] => [`class/${random.happens(0.5) ? 'short' : 'long'}`, { firstTokenMs: random.between(1000, 9000), attainment: 0.95 }]
  const adapterWrite = (): [string, unknown] => [`adapter/${adapterName(random.between(0, adapterCount - 1))}`, { model: 'base', versions: ['1', '2', String(random.between(3, 99))] }]
  const modelWrite = (): [string, unknown] => [`model/extra-${random.between(0, 1)}`, random.happens(0.5) ? null : { group: 'other' }]
  const extraAdapterWrite = (): [string, unknown] => ['adapter/extra', random.happens(0.3) ? null : { model: `extra-${random.between(0, 1)}`, versions: ['1'] }]

  const changeConfig = (): void => {
    sim.syncOracle()
    const writers = [classWrite, adapterWrite, modelWrite, extraAdapterWrite]
    const writes = Array.from({ length: random.between(1, 2) }, () => (writers[random.between(0, 3)] as () => [string, unknown])())
    const base = sim.oracle.revisionAt(clock.now() - (random.happens(0.3) ? random.between(0, 3000) : 0))
    const change = { type: 'change' as const, id: nextId('c'), base, writes: Object.fromEntries(writes), reads: random.happens(0.3) ? ['class/short'] : [], by: 'operator' }
    count('changes')
    sim.appendChange(change)
    if (random.happens(0.1)) {
      clock.after(random.between(1, 5000), () => sim.appendChange(change))
    }
  }

  const repeatAtRandom = (meanIntervalMs: number, work: () => void): void => {
    clock.after(random.between(1, 2 * meanIntervalMs), () => {
      work()
      repeatAtRandom(meanIntervalMs, work)
    })
  }

  return {
    start () {
      repeatAtRandom(rates.completionIntervalMs, submitCompletion)
      repeatAtRandom(rates.orderIntervalMs, submitOrder)
      repeatAtRandom(rates.changeIntervalMs, changeConfig)
    },
    finished,
    orderFinished,
    totals
  }
}
