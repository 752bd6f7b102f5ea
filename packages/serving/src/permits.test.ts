import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPermitClient, createPermitIssuer, permitIssuerOf } from './permits'

const limits = { inFlight: 8, perSecond: 3, expiryMs: 10_000 }

test('grants stay within the configured rate and prefer urgent loads (guards against an overloaded weight store)', () => {
  const issuer = createPermitIssuer('n1', limits)
  const granted: string[] = []
  for (let now = 0; now < 10_000; now += 50) {
    for (const engine of ['low', 'high']) {
      const grants = issuer.step({ type: 'request', engine, urgency: engine === 'high' ? 2 : 1 }, now)
      for (const grant of grants) {
        granted.push(grant.engine)
        issuer.step({ type: 'release', permitId: grant.permitId }, now + 1)
      }
    }
  }
  assert.ok(granted.length >= 28 && granted.length <= 31, `${granted.length} grants in 10 s`)
  assert.ok(granted.filter((engine) => engine === 'high').length >= granted.length - 1)
})

test('at most 8 permits are active and lost ones expire (guards against leaked permits)', () => {
  const issuer = createPermitIssuer('n1', { ...limits, perSecond: 1_000 })
  let count = 0
  for (let now = 0; now < 9_000; now += 10) {
    count += issuer.step({ type: 'request', engine: `e${now}`, urgency: 1 }, now).length
  }
  assert.is(count, 8)
  issuer.step({ type: 'request', engine: 'later', urgency: 1 }, 12_000)
  assert.is(issuer.inFlight, 1)
})

test('an unused permit returns its token to the rate limit (guards against a lower load rate after cancelled requests)', () => {
  const issuer = createPermitIssuer('n1', limits)
  const [first] = issuer.step({ type: 'request', engine: 'e1', urgency: 1 }, 0)
  assert.is(issuer.step({ type: 'request', engine: 'e2', urgency: 1 }, 1).length, 0)
  const [second] = issuer.step({ type: 'release', permitId: first!.permitId, unused: true }, 2)
  assert.is(second?.engine, 'e2')
})

test('patient loads leave a permit to urgent ones and still use the rest of the rate (guards against stalls behind a backlog)', () => {
  const issuer = createPermitIssuer('n1', limits)
  const grantedTo = (engine: string, urgency: number, now: number): boolean => {
    const grants = issuer.step({ type: 'request', engine, urgency }, now)
    for (const { permitId } of grants) {
      issuer.step({ type: 'release', permitId }, now)
    }
    return grants.some((grant) => grant.engine === engine)
  }
  grantedTo('urgent', 1, 0)
  let patient = 0
  let waited = 0
  for (let now = 10; now < 20_000; now += 10) {
    patient += grantedTo('patient', 0.001, now) ? 1 : 0
    waited += now % 2_000 === 0 && !grantedTo('urgent', 1, now) ? 1 : 0
  }
  assert.is(waited, 0, 'an urgent load never waits for the rate')
  assert.ok(patient >= 45, `${patient} patient loads in 20 s at 3 per second, less 9 urgent ones`)
})

test('the fixed share replaces an unreachable issuer and stays within the rate (guards against a stop of all loads)', () => {
  const nodes = ['n1', 'n2', 'n3']
  const issuer = permitIssuerOf(nodes)!
  const clients = nodes.map((node) => createPermitClient(node, limits))
  for (const client of clients) {
    client.step({ type: 'nodes', nodes }, 0)
  }
  assert.equal(clients[0]!.step({ type: 'request', engine: 'e1', urgency: 1 }, 0), [{ type: 'request', node: issuer, engine: 'e1', urgency: 1 }])
  let permits = 0
  for (let now = 0; now < 20_000; now += 20) {
    for (const client of clients) {
      const actions = [
        ...client.step({ type: 'unreachable', node: issuer }, now),
        ...client.step({ type: 'request', engine: 'e1', urgency: 1 }, now)
      ]
      for (const action of actions) {
        if (action.type === 'permit') {
          permits += 1
          client.step({ type: 'release', permitId: action.permitId }, now)
        }
      }
    }
  }
  assert.ok(permits >= 50 && permits <= 61, `${permits} permits in 20 s`)
})

test('a permit that arrives after the fixed share was used is returned (guards against permits that stay unused)', () => {
  const client = createPermitClient('n1', limits)
  client.step({ type: 'nodes', nodes: ['n1', 'n2'] }, 0)
  const late = client.step({ type: 'granted', engine: 'e1', permitId: 'x.1', expiresAt: 9_000 }, 10)
  assert.equal(late, [{ type: 'return', node: client.issuer(), permitId: 'x.1', unused: true }])
})

test.run()
