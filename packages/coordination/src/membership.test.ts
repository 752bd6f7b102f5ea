import { uniformIntDistribution, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { maxDatagramBytes, encodeMembership } from './member-gossip'
import { createMembership, membershipDefaults, type Membership } from './membership'
import type { ListedNode, MembershipAction, MembershipMessage, MemberUpdate } from './membership-types'

type Network = {
  now: number
  nodes: Map<string, Membership>
  /** Number of datagrams by node; `largest` is the size in bytes of the largest one of all nodes. */
  sent: Map<string, number>
  largest: number
  actions: Map<string, MembershipAction[]>
  run (ms: number): void
  stop (id: string): void
  start (id: string, incarnation?: number): void
  blocked: (from: string, to: string) => boolean
  paused: Set<string>
  list (ids: string[], asOf?: number): void
}

const listed = (id: string): ListedNode => ({ id, address: `10.0.0.1:${id}`, zone: 'muscat-a', region: 'muscat', state: 'live' })

/** Delivers every datagram after 1 to 5 ms, unless it is blocked. */
const networkOf = (count: number, seed = 1): Network => {
  const random = xoroshiro128plus(seed)
  let queue: { at: number, to: string, message: MembershipMessage }[] = []
  const network: Network = {
    now: 0,
    nodes: new Map(),
    sent: new Map(),
    largest: 0,
    actions: new Map(),
    blocked: () => false,
    paused: new Set(),
    start (id, incarnation = 1) {
      const seedOfNode = unsafeUniformIntDistribution(1, 1e9, random)
      network.nodes.set(id, createMembership({ ...membershipDefaults, self: { id, address: listed(id).address, incarnation }, random: xoroshiro128plus(seedOfNode) }))
    },
    stop (id) {
      network.nodes.delete(id)
    },
    list (ids, asOf = network.now) {
      for (const id of network.nodes.keys()) {
        handle(id, network.nodes.get(id)!.step({ type: 'instance-list', asOf, nodes: ids.map(listed) }, network.now))
      }
    },
    run (ms) {
      for (const end = network.now + ms; network.now < end; network.now += 5) {
        const due = queue.filter(({ at, to }) => at <= network.now && !network.paused.has(to))
        queue = queue.filter(item => !due.includes(item))
        due.forEach(({ to, message }) => handle(to, network.nodes.get(to)?.step({ type: 'datagram', message }, network.now) ?? []))
        if (network.now % 50 === 0) {
          ids().forEach(id => handle(id, network.nodes.get(id)!.step({ type: 'tick' }, network.now)))
        }
      }
    }
  }
  const ids = (): string[] => [...network.nodes.keys()].filter(id => !network.paused.has(id))
  const handle = (id: string, actions: MembershipAction[]): void => {
    network.actions.set(id, [...(network.actions.get(id) ?? []), ...actions])
    for (const action of actions) {
      if (action.type === 'datagram') {
        network.sent.set(id, (network.sent.get(id) ?? 0) + 1)
        network.largest = Math.max(network.largest, Buffer.byteLength(encodeMembership(action.message)))
        const at = network.now + uniformIntDistribution(1, 5, random)[0]
        if (!network.blocked(id, action.to)) {
          queue.push({ at, to: action.to, message: action.message })
        }
      }
    }
  }
  const names = Array.from({ length: count }, (_, index) => `node-${index}`)
  names.forEach(name => network.start(name))
  network.list(names)
  return network
}

const statesOf = (network: Network, id: string): Set<string | undefined> =>
  new Set([...network.nodes].filter(([name]) => name !== id).map(([, node]) => node.member(id)?.state))

test('healthy members stay alive everywhere', () => {
  const network = networkOf(8)
  network.run(30_000)
  network.nodes.forEach((_, id) => assert.equal([...statesOf(network, id)], ['alive']))
})

test('every node detects a dead node within 7 s', () => {
  const network = networkOf(8)
  network.run(5000)
  network.stop('node-3')
  network.run(7000)
  assert.equal([...statesOf(network, 'node-3')], ['dead'])
})

test('a failed link between two nodes makes neither of them dead', () => {
  const network = networkOf(6)
  network.blocked = (from, to) => [from, to].sort().join() === 'node-1,node-2'
  network.run(60_000)
  assert.not(statesOf(network, 'node-1').has('dead'))
  assert.not(statesOf(network, 'node-2').has('dead'))
})

test('a node that was paused refutes that it is dead and declares no other member dead', () => {
  const network = networkOf(6)
  network.run(5000)
  network.paused.add('node-0')
  network.run(15_000)
  assert.equal([...statesOf(network, 'node-0')], ['dead'])
  network.paused.clear()
  network.run(8000)
  assert.equal([...statesOf(network, 'node-0')], ['alive'])
  const declaredDead = network.actions.get('node-0')!.filter(action => action.type === 'member-changed' && action.member.state === 'dead')
  assert.equal(declaredDead, [])
})

// Guards against a suspicion that grew old only because this process did not run: the member had no time to refute it.
test('a member that was suspected before a pause of this process is not declared dead right after it', () => {
  const suspicion: MemberUpdate = { id: 'node-1', address: listed('node-1').address, incarnation: 1, refutation: 0, state: 'suspect', leaving: false }
  const membership = createMembership({ ...membershipDefaults, self: { id: 'node-0', address: listed('node-0').address, incarnation: 1 }, random: xoroshiro128plus(1) })
  membership.step({ type: 'instance-list', asOf: 0, nodes: [listed('node-0'), listed('node-1'), listed('node-2')] }, 0)
  membership.step({ type: 'tick' }, 0)
  membership.step({ type: 'datagram', message: { type: 'ping', from: 'node-2', probe: 1, updates: [suspicion] } }, 10)
  assert.is(membership.member('node-1')?.state, 'suspect')
  membership.step({ type: 'tick' }, 50)
  membership.step({ type: 'tick' }, 20_000)
  assert.is(membership.member('node-1')?.state, 'suspect')
  for (let now = 20_050; now <= 20_000 + membershipDefaults.suspicionMs; now += 50) membership.step({ type: 'tick' }, now)
  assert.is(membership.member('node-1')?.state, 'dead')
})

test('both sides of a healed partition detect each other again', () => {
  const network = networkOf(6)
  network.run(3000)
  const side = (id: string): boolean => Number(id.slice(5)) < 3
  network.blocked = (from, to) => side(from) !== side(to)
  network.run(60_000)
  assert.is(network.nodes.get('node-0')!.member('node-5')?.state, 'dead')
  network.blocked = () => false
  network.run(20_000)
  network.nodes.forEach((_, id) => assert.equal([...statesOf(network, id)], ['alive']))
})

test('leaving spreads by gossip within 3 s and is not reset by a stale list', () => {
  const network = networkOf(9)
  network.run(2000)
  network.nodes.get('node-4')!.step({ type: 'leave' }, network.now)
  network.run(3000)
  network.list([...network.nodes.keys()])
  network.nodes.forEach((node, id) => assert.ok(id === 'node-4' || node.member('node-4')?.leaving, `${id} has received it`))
})

test('a new process with the same id is recognised by its incarnation, and the replaced one is notified', () => {
  const network = networkOf(4)
  network.run(2000)
  const replaced = network.nodes.get('node-1')!
  network.start('node-1', 2)
  network.list([...network.nodes.keys()])
  network.run(5000)
  assert.is(network.nodes.get('node-0')!.member('node-1')?.incarnation, 2)
  const update = network.actions.get('node-1')!.flatMap(action => action.type === 'datagram' ? action.message.updates : []).find(({ incarnation }) => incarnation === 2)!
  const actions = replaced.step({ type: 'datagram', message: { type: 'ping', from: 'node-0', probe: 1, updates: [update] } }, network.now)
  assert.ok(actions.some(({ type }) => type === 'superseded'))
})

test('late gossip does not re-add an instance that the platform removed', () => {
  const network = networkOf(3)
  network.run(2000)
  network.stop('node-2')
  network.list(['node-0', 'node-1'])
  const old: MemberUpdate = { id: 'node-2', address: 'x', incarnation: 1, refutation: 9, state: 'alive', leaving: false }
  network.nodes.get('node-0')!.step({ type: 'datagram', message: { type: 'ping', from: 'node-1', probe: 1, updates: [old] } }, network.now)
  assert.is(network.nodes.get('node-0')!.member('node-2'), undefined)
})

test('an older snapshot of the instance list is ignored', () => {
  const network = networkOf(3)
  network.list(['node-0', 'node-1', 'node-2'], 100)
  network.list(['node-0'], 50)
  assert.is(network.nodes.get('node-0')!.live().length, 2)
})

test('messages per node and their size do not grow with the number of nodes', () => {
  const busiest = (count: number): { perSecond: number, largest: number } => {
    const network = networkOf(count)
    network.run(5000)
    network.sent.clear()
    network.run(20_000)
    const total = [...network.sent.values()].reduce((sum, sent) => sum + sent, 0)
    return { perSecond: total / count / 20, largest: network.largest }
  }
  const few = busiest(8)
  const many = busiest(80)
  assert.ok(many.perSecond < 1.2 * few.perSecond, `${few.perSecond} and ${many.perSecond} messages per node and second`)
  assert.ok(many.largest <= maxDatagramBytes)
})

test('datagrams stay within the bound when many members change at once and names are long', () => {
  const network = networkOf(1)
  const long = 'x'.repeat(50)
  const updates = Array.from({ length: 100 }, (_, index): MemberUpdate => ({ id: `${long}-${index}`, address: `${long}:${index}`, incarnation: 1e12, refutation: 3, state: 'suspect', leaving: true }))
  const node = network.nodes.get('node-0')!
  for (const update of updates) {
    const actions = node.step({ type: 'datagram', message: { type: 'ping-request', from: update.id, probe: 1e6, target: update, updates: [update] } }, 10)
    const sizes = actions.flatMap(action => action.type === 'datagram' ? [Buffer.byteLength(encodeMembership(action.message))] : [])
    assert.ok(Math.max(...sizes) <= maxDatagramBytes, `${sizes}`)
  }
})

test.run()
