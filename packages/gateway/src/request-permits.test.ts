import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import { createRequestPermits, permitValidMs, type PermitResult, type RequestPermits } from './request-permits'

const test = suite('request permits')

const server: BackendServer = { id: 's1', bornAt: 1, service: 'desk', address: 's1:1', zone: 'a', state: 'ready', slots: 4, models: [] }

let now: number
let suspensionEndedAt: number
/** Holds back the messages that a node would handle. */
let delayed: (() => void)[] | undefined
let limits: Map<string, number>
/** Longest time of a request, in ms. */
const endInMs = 1000
/** Nodes that are leaving, and nodes that do not reply. */
let leaving: Set<string>
let silent: Set<string>
let concurrent: number | undefined
let nodes: Map<string, RequestPermits>

function startNodes (names: string[]): void {
  nodes = new Map(names.map(name => [name, createRequestPermits({
    self: name,
    incarnation: 1,
    now: () => now,
    suspensions: { endedAt: () => suspensionEndedAt },
    peers: () => names.filter(other => other !== name && !leaving.has(other)),
    leaving: () => leaving.has(name),
    limit () {
      const requestsPerSecond = limits.get(name)
      if (concurrent !== undefined) return { concurrent }
      return requestsPerSecond === undefined ? undefined : { requestsPerSecond }
    },
    async send (node, message) {
      if (silent.has(node)) return false
      if (message.kind !== 'acquire' && delayed !== undefined) delayed.push(() => nodes.get(node)!.receive(name, message))
      else setImmediate(() => nodes.get(node)!.receive(name, message))
      return true
    },
    onError: reason => { throw new Error(reason) }
  })]))
}

test.before.each(() => {
  now = 0
  concurrent = undefined
  suspensionEndedAt = -Infinity
  delayed = undefined
  limits = new Map()
  silent = new Set()
  leaving = new Set()
  startNodes(['n1', 'n2', 'n3'])
})

const startOf = (result: PermitResult): number | undefined => result.type === 'permitted' ? result.permit.read(now)?.value.startAt : undefined

async function countPermits (everyMs: number, ms: number, maxWaitMs = 0): Promise<number> {
  let count = 0
  for (const end = now + ms; now < end; now += everyMs) {
    const results = await Promise.all([...nodes.values()].map(async permits => await permits.acquire(server, maxWaitMs, endInMs)))
    count += results.filter(({ type }) => type === 'permitted').length
  }
  return count
}

// Guards against nodes that each use the whole limit, and against a limit that is split into shares of which most are unused.
test('nodes that know a limit get as many permits as it allows', async () => {
  for (const name of nodes.keys()) limits.set(name, 5)
  const count = await countPermits(20, 10_000)
  assert.ok(count >= 48 && count <= 54, `${count} permits in 10 s at a limit of 5 a second`)
  limits.delete('n2')
  assert.is((await nodes.get('n2')!.acquire(server, 0, endInMs)).type, 'permitted')
})

// Guards against a limit without effect because the node that gives the permits has started since it was stated.
test('the pacer uses the limit that the asking node knows if it knows none', async () => {
  const pacer = nodes.get('n1')!.pacer(server)
  for (const name of nodes.keys()) {
    if (name !== pacer) limits.set(name, 2)
  }
  const [asking] = [...nodes].filter(([name]) => name !== pacer)
  let permitted = 0
  for (; now < 5000; now += 50) permitted += (await asking![1].acquire(server, 0, endInMs)).type === 'permitted' ? 1 : 0
  assert.ok(permitted >= 9 && permitted <= 12, `${permitted} permits in 5 s at a limit of 2 a second`)
})

// Guards against requests without a permit while the pacer is away, and against a message for each of them.
test('there is no permit while the pacer does not reply', async () => {
  for (const name of nodes.keys()) limits.set(name, 5)
  const pacer = nodes.get('n1')!.pacer(server)
  silent.add(pacer)
  const [, asking] = [...nodes].find(([name]) => name !== pacer)!
  const first = await asking.acquire(server, 0, endInMs)
  assert.equal([first.type, first.type === 'denied' && first.reason], ['denied', 'no-pacer'])
  silent.clear()
  assert.is((await asking.acquire(server, 0, endInMs)).type, 'denied')
  now += 600
  assert.is((await asking.acquire(server, 0, endInMs)).type, 'permitted')
})

test('a request that may wait gets a permit for later', async () => {
  for (const name of nodes.keys()) limits.set(name, 2)
  const node = nodes.get('n1')!
  assert.is(startOf(await node.acquire(server, 0, endInMs)), 0)
  assert.is(startOf(await node.acquire(server, 600, endInMs)), 500)
  assert.is((await node.acquire(server, 600, endInMs)).type, 'denied')
})

// Guards against two nodes that give permits for the same server during a planned stop.
test('a leaving node and the others agree on another pacer', () => {
  const pacer = nodes.get('n1')!.pacer(server)
  leaving.add(pacer)
  const pacers = new Set([...nodes.values()].map(permits => permits.pacer(server)))
  assert.is(pacers.size, 1)
  assert.not.ok(pacers.has(pacer))
})

function nodeThatAsks (): RequestPermits {
  for (const name of nodes.keys()) limits.set(name, 2)
  const pacer = nodes.get('n1')!.pacer(server)
  return [...nodes].find(([name]) => name !== pacer)![1]
}

// Guards against a process that was paused and takes a permit that has waited in its socket for a new one.
for (const pause of ['stop', 'suspension'] as const) {
  test(`a permit that arrives during a ${pause} of the process is not used`, async () => {
    const asking = nodeThatAsks()
    delayed = []
    const asked = asking.acquire(server, 0, endInMs)
    await new Promise(resolve => setImmediate(resolve))
    if (pause === 'stop') now = 8000
    else suspensionEndedAt = now += 1
    for (const deliver of delayed) deliver()
    assert.is((await asked).type, 'denied')
  })
}

// Guards against a permit that has run out, or that seems new after a suspension, during which the clock stands still.
test('a permit counts for a while after its start, and not after a suspension', async () => {
  const results = [await nodeThatAsks().acquire(server, 0, endInMs), await nodes.get(nodes.get('n1')!.pacer(server))!.acquire(server, 600, endInMs)]
  assert.equal(results.map(startOf), [0, 500])
  now = permitValidMs
  assert.equal(results.map(startOf), [0, 500])
  now += 1
  assert.equal(results.map(startOf), [undefined, 500])
  now = 501 + permitValidMs
  assert.equal(results.map(startOf), [undefined, undefined])
  now += 1000
  const result = await nodes.get('n1')!.acquire(server, 0, endInMs)
  assert.is(startOf(result), now)
  suspensionEndedAt = now += 1
  assert.is(startOf(result), undefined)
})

// Guards against nodes that fill a server together, and against places that are lost with a node that ends.
test('no more requests are in progress at a server than it can run, until one ends or must have ended', async () => {
  startNodes(['n1', 'n2', 'n3'])
  concurrent = 2
  const acquire = (node: string): ReturnType<RequestPermits['acquire']> => nodes.get(node)!.acquire(server, 0, endInMs)
  const [first, second, third] = [await acquire('n1'), await acquire('n2'), await acquire('n3')]
  assert.equal([first.type, second.type, third.type], ['permitted', 'permitted', 'denied'])
  assert.ok(first.type === 'permitted')
  first.release()
  await new Promise(resolve => setImmediate(resolve))
  assert.is((await acquire('n3')).type, 'permitted')
  assert.is((await acquire('n1')).type, 'denied')
  now += 2 * endInMs
  assert.is((await acquire('n1')).type, 'permitted')
})

test.run()
