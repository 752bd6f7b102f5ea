/** Streams whose events come from engines of two software versions of one service, in one answer or over a client's tries. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countStreams, startVersionStreams, type ClientOptions, type VersionStreams } from './testing'

const test = suite('streams of several versions')

const twoOfEach = ['v1', 'v1', 'v2', 'v2']
const streamCount = 24
/** Time from the notice of engines that leave until their end, in ms. */
const leaveMs = 400
/** Time in which the nodes learn of new engines, in ms. */
const knownMs = 150
/** Streams that a fault must hit for a test to mean anything. */
const minHit = 6
/** Median time within which a take-up without an engine of its version is refused, in ms; its deadline is 5 s. */
const refusedMs = 300

let bed: VersionStreams

async function beginStreams (versions: string[], options: ClientOptions = {}): Promise<void> {
  bed = await startVersionStreams(versions)
  await bed.begin(streamCount, options)
  await bed.untilMiddle()
}

function assertNotJoined (): void {
  const { streams, joined } = countStreams(bed.streams)
  assert.is(joined, 0, `${joined} of ${streams} streams are joined of two versions`)
}

function assertTakenUp (share: number): void {
  const { takenUp, wentOn } = countStreams(bed.streams, 2)
  assert.ok(takenUp >= minHit, `only ${takenUp} streams were taken up`)
  assert.ok(wentOn >= share * takenUp, `${wentOn} of ${takenUp} streams went on`)
}

test.after.each(async () => {
  await bed.stop()
})

// Guards against an answer that goes on at an engine of another version.
test('no stream is joined of two versions when engines crash', async () => {
  await beginStreams(twoOfEach)
  const cut = [bed.engines[0]!, bed.engines[2]!].map(engine => engine.crash())
  assert.ok(cut[0]! + cut[1]! >= minHit, `only ${cut.join(' and ')} streams were cut`)
  await bed.finished()
  assertNotJoined()
})

// Guards against nodes that have lost with their memory at which version a stream began.
test('no stream is joined when all nodes are killed at once, and streams go on', async () => {
  await beginStreams(twoOfEach)
  await bed.killAll()
  await bed.finished()
  assertNotJoined()
  assertTakenUp(0.5)
})

// Guards against what only the lost node knew.
test('no stream is joined when one node is killed, and its streams go on at the others', async () => {
  await beginStreams(twoOfEach, { node: 0 })
  bed.killNode(0)
  await bed.finished()
  assertNotJoined()
  assertTakenUp(0.5)
})

// Guards against a stream that goes on at the new version once the old one has left, and against one that waits for it.
test('no stream goes on at a new version when the old one has left; its take-up is refused at once', async () => {
  await beginStreams(twoOfEach)
  const old = bed.engines.filter(({ version }) => version === 'v1')
  for (const engine of old) engine.drain()
  const restarted = bed.killAll()
  await sleep(leaveMs)
  for (const engine of old) engine.leave()
  await restarted
  await bed.untilServing()
  const ofOld = bed.streams.filter(({ versions, complete }) => versions.has('v1') && !complete)
  assert.ok(ofOld.length >= minHit, `only ${ofOld.length} streams of the old version were broken off`)
  const takeUps = await Promise.all(ofOld.map((stream, index) => bed.takeUp(stream, index % bed.nodes.fronts.length)))
  await bed.finished()
  assertNotJoined()
  assert.equal(takeUps.filter(({ status }) => status === 0 || status === 200), [], 'a take-up without an engine of its version goes on or is not answered')
  const sorted = takeUps.map(({ afterMs }) => afterMs).sort((one, other) => one - other)
  assert.ok(sorted[Math.floor(sorted.length / 2)]! <= refusedMs, `take-ups are refused after ${sorted.map(Math.round).join(', ')} ms`)
})

const otherNames: [name: string, options: ClientOptions][] = [
  ['no request', { resumes: () => undefined }],
  ['an unknown request', { resumes: ({ key }) => `unknown-${key}` }],
  ['a malformed request', { resumes: () => '{"":\\,\u00ff;= '.repeat(40) }],
  ['a request of another caller, whose stream began at the other version', {
    parts: 'same',
    resumes: (stream, others) => others.find(({ firstId, versions }) => firstId !== undefined && [...versions].every(version => !stream.versions.has(version)))?.firstId
  }]
]
const faults: [name: string, fault: () => Promise<void>][] = [['its connection broke', async () => {}], ['all nodes were killed', () => bed.killAll()]]
for (const [when, fault] of faults) {
  // Guards against a guess, and against a version that is taken from a stream that is not the client's.
  test(`no stream is joined when its take-up names no request or another one, after ${when}`, async () => {
    bed = await startVersionStreams(twoOfEach)
    for (const [, options] of otherNames) await bed.begin(streamCount / 3, { ...options, breakAfter: 8 })
    await bed.untilMiddle()
    await fault()
    await bed.finished()
    assert.is(new Set(bed.streams.flatMap(({ versions }) => [...versions])).size, 2, 'streams began at one version only')
    const counts = otherNames.map(([name], index) => ({ name, ...countStreams(bed.streams.slice(index * streamCount / 3, (index + 1) * streamCount / 3)) }))
    for (const { name, takenUp } of counts) assert.ok(takenUp >= minHit, `only ${takenUp} take-ups named ${name}`)
    assert.equal(counts.filter(({ joined }) => joined > 0), [])
  })
}

// Guards against a version that is known at the node of the last try alone.
test('no stream is joined that its client takes up several times at different nodes', async () => {
  await beginStreams(twoOfEach, { breakAfter: 8 })
  await bed.finished()
  assertNotJoined()
  assertTakenUp(0.5)
  assert.ok(bed.streams.filter(({ tries }) => tries.filter(({ takesUp, events }) => takesUp && events > 0).length >= 2).length >= minHit, 'too few streams were taken up twice')
})

// Guards against a record of versions that begins only once there are two, so that a stream from before goes on at either.
test('no stream of the time with one version is joined after a second one has started', async () => {
  await beginStreams(['v1', 'v1'], { sendsOnce: true })
  for (const version of ['v2', 'v2']) await bed.startEngine(version)
  await sleep(knownMs)
  await bed.killAll()
  await bed.untilServing()
  await bed.untilClaimed()
  const broken = bed.streams.filter(({ complete }) => !complete)
  assert.ok(broken.length >= minHit, `only ${broken.length} streams were broken off`)
  await Promise.all(broken.map((stream, index) => bed.takeUp(stream, index % bed.nodes.fronts.length)))
  assertNotJoined()
})

test.run()
