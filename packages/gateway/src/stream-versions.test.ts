/** Streams of a service with one software version, which clients take up after a broken connection. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { countStreams, startVersionStreams, type ClientOptions, type VersionStreams } from './testing'

const test = suite('streams of one version')

const oneVersion = ['v1', 'v1', 'v1', 'v1']
const streamCount = 24
/** Streams that must be taken up for a test to mean anything. */
const minTakenUp = 12
const goesOn = 0.95

let bed: VersionStreams

test.after.each(async () => {
  await bed.stop()
})

const faults: [name: string, options: ClientOptions, fault: () => Promise<void>][] = [
  ['after all nodes were killed', {}, () => bed.killAll()],
  ['after the node of its begin was killed', { node: 0 }, async () => bed.killNode(0)],
  ['after its connection broke several times', { breakAfter: 8 }, async () => {}]
]
for (const [when, options, fault] of faults) {
  // Guards against a check of versions that refuses streams although there is only one.
  test(`a stream goes on ${when}, whether its take-up names the first request or not`, async () => {
    bed = await startVersionStreams(oneVersion)
    await bed.begin(streamCount / 2, options)
    await bed.begin(streamCount / 2, { ...options, resumes: () => undefined })
    await bed.untilMiddle()
    await fault()
    await bed.finished()
    const { takenUp, wentOn } = countStreams(bed.streams, 2)
    assert.ok(takenUp >= minTakenUp, `only ${takenUp} streams were taken up`)
    assert.ok(wentOn >= goesOn * takenUp, `${wentOn} of ${takenUp} streams went on`)
  })
}

// Guards against an answer that is broken off although engines of its version serve.
test('a stream goes on within its answer when its engine crashes', async () => {
  bed = await startVersionStreams(oneVersion)
  await bed.begin(streamCount)
  await bed.untilMiddle()
  const cut = bed.engines[0]!.crash()
  assert.ok(cut > 0, 'no stream was cut off')
  await bed.finished()
  const whole = bed.streams.filter(({ complete, tries }) => complete && tries.length === 1).length
  assert.ok(whole >= goesOn * streamCount, `${whole} of ${streamCount} streams are whole`)
})

test.run()
