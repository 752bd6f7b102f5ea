import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { BackendServer } from './cluster-types'
import type { FeedRecord, FleetRecord } from './platform-interface'
import { createSoftwareVersions, serviceVersionsKey, versionRetentionMs } from './software-versions'

const test = suite('software versions')

function server (id: string, version?: string, service = 'llm'): BackendServer {
  return { id, bornAt: 1, service, address: '127.0.0.1:1', zone: 'a', state: 'ready', slots: 1, models: [], ...(version === undefined ? {} : { version }) }
}

function record (versions: string[] | undefined, service = 'llm'): FeedRecord<FleetRecord> {
  return { key: serviceVersionsKey(service), offset: 1, value: versions === undefined ? undefined : { type: 'service-versions', service, versions } }
}

// Guards against a stream that goes on at the new version once the last server of its own has left.
test('a version counts for a while after its last server has left', () => {
  const versions = createSoftwareVersions()
  versions.observe([server('e1', 'v1')], 0)
  assert.is(versions.only('llm', 0), 'v1')
  versions.observe([server('e1', 'v1'), server('e2', 'v2')], 10)
  assert.is(versions.only('llm', 10), undefined)
  versions.observe([server('e2', 'v2')], 20)
  assert.ok(versions.isMixed('llm', 20 + versionRetentionMs - 1))
  assert.is(versions.only('llm', 20 + versionRetentionMs), 'v2')
})

// Guards against a node that starts after the last server of a version has left, and takes the other version for the only one.
test('a version counts at a node that has only read of it in the fleet log', () => {
  const versions = createSoftwareVersions()
  versions.apply([record(['v1', 'v2'])], 0)
  versions.observe([server('e2', 'v2')], 0)
  assert.is(versions.only('llm', 100), undefined)
  assert.equal(versions.outdatedRecords(100), [])
  assert.is(versions.only('llm', versionRetentionMs), 'v2')
  assert.equal(versions.outdatedRecords(versionRetentionMs), [{ service: 'llm', versions: [] }])
})

test('the record of a release that is long over does not count again when it is read again', () => {
  const versions = createSoftwareVersions()
  versions.observe([server('e2', 'v2')], 0)
  versions.apply([record(['v1', 'v2'])], 0)
  versions.apply([record(['v1', 'v2'])], versionRetentionMs)
  assert.is(versions.only('llm', versionRetentionMs), 'v2')
  versions.apply([record(undefined)], versionRetentionMs)
  assert.equal(versions.outdatedRecords(versionRetentionMs), [])
})

// Guards against versions that are not recorded any more after the store came back from a copy.
test('a record that the store has lost is to be written again', () => {
  const versions = createSoftwareVersions()
  versions.observe([server('e1', 'v1'), server('e2', 'v2')], 0)
  assert.equal(versions.outdatedRecords(0), [{ service: 'llm', versions: ['v1', 'v2'] }])
  versions.apply([record(['v1', 'v2'])], 0)
  assert.equal(versions.outdatedRecords(0), [])
  versions.recordsReplaced()
  versions.apply([], 1)
  assert.equal(versions.outdatedRecords(1), [{ service: 'llm', versions: ['v1', 'v2'] }])
})

test('versions of one service do not count for another', () => {
  const versions = createSoftwareVersions()
  versions.observe([server('e1', 'v1'), server('p1', 'v2', 'desk')], 0)
  assert.is(versions.only('llm', 0), 'v1')
  assert.is(versions.only('desk', 0), 'v2')
  assert.equal(versions.outdatedRecords(0), [])
})

test('servers that state no version have one of their own', () => {
  const versions = createSoftwareVersions()
  versions.observe([server('e1'), server('e2')], 0)
  assert.is(versions.only('llm', 0), '')
  versions.observe([server('e1'), server('e2', 'v1')], 0)
  assert.ok(versions.isMixed('llm', 0))
})

test.run()
