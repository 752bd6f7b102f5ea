/** Whether a node's links to all servers are cut. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createServerLinks } from './server-links'

const test = suite('server links')

const servers = ['s1', 's2', 's3', 's4']

test('one server that cannot be reached does not cut the links', () => {
  const links = createServerLinks()
  links.notConnected('s1')
  assert.equal(links.check(servers, 0), { reason: 'not-connected', servers: ['s2', 's3'] })
  assert.is(links.state(), 'checking')
  links.tried('s2', true, 5)
  assert.is(links.state(), 'connected')
})

// Guards against a check for each request to a server that has ended.
test('links that work are not checked again at once', () => {
  const links = createServerLinks()
  links.notConnected('s1')
  links.check(servers, 0)
  links.tried('s2', true, 5)
  links.notConnected('s1')
  assert.is(links.check(servers, 500), undefined)
  assert.equal(links.check(servers, 1100)?.servers, ['s2', 's3'])
})

test('links are cut when none of a few servers can be reached', () => {
  const links = createServerLinks()
  links.notConnected('s1')
  links.check(servers, 0)
  links.tried('s2', false, 400)
  assert.is(links.state(), 'checking')
  links.tried('s3', false, 401)
  assert.is(links.state(), 'cut')
})

// Guards against a node that never checks its links because its connections hang and no new one is opened.
test('no byte of any server while a request waits begins a check', () => {
  const links = createServerLinks()
  const ended = links.sent(1000)
  links.received(1100)
  assert.is(links.check(servers, 1490), undefined)
  assert.equal(links.check(servers, 1510), { reason: 'silence', servers: ['s1', 's2', 's3'] })
  for (const id of ['s1', 's2', 's3']) links.tried(id, false, 1910)
  assert.is(links.state(), 'cut')
  ended()
})

test('silent servers that can be reached are only slow', () => {
  const links = createServerLinks()
  links.sent(0)
  links.check(servers, 500)
  links.tried('s1', true, 501)
  assert.is(links.state(), 'connected')
  assert.is(links.check(servers, 1400), undefined)
})

test('a node without requests is not silent', () => {
  const links = createServerLinks()
  links.sent(0)()
  assert.is(links.check(servers, 5000), undefined)
})

test('bytes of one server show that the links work', () => {
  const links = createServerLinks()
  links.sent(0)
  for (let now = 100; now < 3000; now += 100) {
    links.received(now)
    assert.is(links.check(servers, now + 50), undefined)
  }
})

test('cut links are tried at an interval, and one connection ends the cut', () => {
  const links = createServerLinks()
  links.notConnected('s1')
  links.check(servers, 0)
  for (const id of ['s2', 's3']) links.tried(id, false, 400)
  assert.is(links.check(servers, 800), undefined)
  assert.equal(links.check(servers, 900), { reason: 'interval', servers: ['s1'] })
  assert.is(links.check(servers, 2000), undefined, 'the try has no result yet')
  links.tried('s1', false, 2000)
  assert.equal(links.check(servers, 2500)?.servers, ['s1'])
  links.tried('s1', true, 2501)
  assert.is(links.state(), 'connected')
})

test('links to a service are checked when those to another one are cut', () => {
  const links = createServerLinks()
  links.suspect()
  assert.equal(links.check(servers, 0), { reason: 'other-service', servers: ['s1', 's2', 's3'] })
  links.tried('s2', true, 5)
  assert.is(links.check(servers, 2000), undefined)
})

test('the only server that cannot be reached leaves the links cut', () => {
  const links = createServerLinks()
  links.notConnected('s1')
  assert.equal(links.check(['s1'], 0)?.servers, [])
  assert.is(links.state(), 'cut')
})

test('a late result of an earlier check has no effect', () => {
  const links = createServerLinks()
  links.notConnected('s1')
  links.check(servers, 0)
  links.tried('s2', true, 5)
  links.tried('s3', false, 400)
  assert.is(links.state(), 'connected')
})

test.run()
