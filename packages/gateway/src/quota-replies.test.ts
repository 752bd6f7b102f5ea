import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Account, AccountQuota } from './cluster-types'
import type { PeerMessage } from './peer-link'
import { createQuotaOwners } from './quota-owners'
import { createQuotas, type Quotas } from './quotas'

const test = suite('replies to questions about quotas')

const quota: AccountQuota = { unit: 'tokens', ratePerSecond: 1000, burst: 1000, plainTokens: 200 }
const names = ['a', 'b', 'c']
const members = names.map(name => ({ name, zone: 'z', incarnation: 1, capacity: 1, state: 'alive' as const }))

/** Accounts that node b owns. */
function accountsOfB (count: number): Account[] {
  const owners = createQuotaOwners('a', 0)
  owners.view(members, false, 0)
  return Array.from({ length: 100 }, (_, index) => ({ name: `x${index}`, keyDigests: [], quota })).filter(({ name }) => owners.order(name)[0] === 'b').slice(0, count)
}

function createNodes (isKnown: (node: string, account: string) => boolean, sent: (from: string, to: string, message: PeerMessage) => void): Map<string, Quotas> {
  const nodes = new Map<string, Quotas>()
  for (const node of names) {
    nodes.set(node, createQuotas({
      self: { node, incarnation: 1 },
      now: () => performance.now(),
      suspensions: { endedAt: () => -Infinity },
      after: (ms, callback) => { setTimeout(callback, ms) },
      members: () => members,
      leaving: () => false,
      tolerance: () => undefined,
      quota: account => isKnown(node, account) ? quota : undefined,
      notify (to, message) {
        sent(node, to, message)
        setImmediate(() => nodes.get(to)!.receive({ node, incarnation: 1 }, message))
      },
      log: { info () {}, warn () {} },
      metrics: { quotaUnits () {}, quotaLevel () {} }
    }))
  }
  return nodes
}

// Guards against a new account whose owner has not read it yet, and that owner's other accounts, which would be passed to nodes in its place.
test('an owner that does not know an account yet says so, and stays the owner of the others', async () => {
  const [young, old] = accountsOfB(2) as [Account, Account]
  const asked: string[] = []
  const nodes = createNodes((node, account) => node !== 'b' || account !== young.name, (from, to, { kind }) => { if (from === 'a' && kind === 'quota-ask') asked.push(to) })
  const startedAt = performance.now()
  assert.is((await nodes.get('a')!.admit(young, { statedTokens: 10 })).type, 'admitted')
  assert.ok(performance.now() - startedAt < 80, 'a missed reply')
  asked.length = 0
  assert.is((await nodes.get('a')!.admit(old, { statedTokens: 10 })).type, 'admitted')
  assert.equal(asked, ['b'])
})

// Guards against requests that wait for ever behind one whose question could not be sent.
test('all waiting requests get a result if a question fails', async () => {
  const [account] = accountsOfB(1) as [Account]
  const nodes = createNodes(() => true, () => { throw new Error('no such port') })
  const results = await Promise.race([Promise.all([1, 2, 3].map(async () => await nodes.get('a')!.admit(account, { statedTokens: 10 }))), new Promise(resolve => { setTimeout(resolve, 1000, 'none') })])
  assert.equal((results as { type: string }[]).map(({ type }) => type), ['unavailable', 'unavailable', 'unavailable'])
})

test.run()
