import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createVersionHistory } from './version-history'

const test = suite('version history')

test('a loaded version is outdated since the first newer one', () => {
  const history = createVersionHistory()
  for (const [version, at] of [[2, 100], [5, 200], [9, 300]] as const) assert.ok(history.announce(version, at, at))
  assert.not.ok(history.announce(5, 400, 400))
  assert.is(history.newest(), 9)
  assert.equal([1, 2, 4, 5, 9, 12].map(version => history.outdatedSince({ version, loadStartedAt: 0 })), [100, 200, 200, 300, Infinity, Infinity])
})

test('a version that is not known is as old as the start of its load', () => {
  const history = createVersionHistory()
  history.announce(2, 100, 100)
  history.announce(3, 200, 200)
  assert.equal([0, 150, 201].map(loadStartedAt => history.outdatedSince({ loadStartedAt })), [100, 200, Infinity])
  const unknown = createVersionHistory()
  unknown.announce(2, -Infinity, 0)
  assert.is(unknown.outdatedSince({ loadStartedAt: 900 }), -Infinity)
})

// Guards against replicas that are unloaded over and over in a process that started after the first announcement.
test('a load after a later announcement is current although the time of an earlier one is unknown', () => {
  const history = createVersionHistory()
  history.announce(2, -Infinity, 0)
  history.announce(3, 200, 200)
  assert.equal([150, 200, 201].map(loadStartedAt => history.outdatedSince({ loadStartedAt })), [-Infinity, -Infinity, Infinity])
  history.announce(4, 300, 300)
  assert.is(history.outdatedSince({ loadStartedAt: 201 }), 300)
})

// Guards against an older version that is used because its load began after the time of a dropped announcement.
test('the time of a dropped announcement does not make earlier loads current', () => {
  const history = createVersionHistory()
  for (let version = 1; version <= 17; version++) history.announce(version, version * 10, version * 10)
  assert.is(history.outdatedSince({ loadStartedAt: 15 }), 10)
})

// Guards against a longer use of old versions because their announcements were dropped.
test('many announcements are kept in a bounded number, and never make an older version usable for longer', () => {
  const history = createVersionHistory()
  for (let version = 1; version <= 100; version++) history.announce(version, version * 10, version * 10)
  for (const version of [0, 5, 50]) assert.ok(history.outdatedSince({ version, loadStartedAt: 0 }) <= (version + 1) * 10)
  assert.is(history.outdatedSince({ version: 99, loadStartedAt: 0 }), 1000)
})

// Guards against a replica that was loaded between an announcement and its arrival at this node, and counts as one of the new version.
test('a load that began before this node heard of a version may have fetched the one before', () => {
  const history = createVersionHistory()
  history.announce(2, 100, 100)
  history.announce(3, 200, 3200)
  assert.equal([1000, 3201].map(loadStartedAt => history.outdatedSince({ loadStartedAt })), [200, Infinity])
})

test.run()
