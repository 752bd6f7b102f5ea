import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createConfigAge, type ConfigPosition } from './config-age'
import { createConfigQuestions } from './config-questions'
import type { NodeRecord } from './fleet'
import type { PeerMessage } from './peer-link'

const test = suite('config questions')

const revokeMs = 5000

// Guards against the reader of a zone that has read a restored store to its end, and asks nobody for a newer version.
test('a reader whose evidence is always young asks others for their version too, but not at each tick', () => {
  let now = 0
  const own: ConfigPosition = { next: 7, version: 3 }
  const age = createConfigAge({ revokeMs: () => revokeMs, suspensions: { endedAt: () => -Infinity }, own: () => own })
  const sent: PeerMessage[] = []
  const questions = createConfigQuestions({
    self: { name: 'a', zone: 'z', incarnation: 1 },
    now: () => now,
    random: () => 0,
    age,
    own: () => own,
    peers: () => [{ name: 'b', zone: 'y', address: 'b:1' } as NodeRecord],
    zoneReader: () => 'a',
    address: () => 'b:1',
    notify: (_address, message) => { sent.push(message) },
    behind () {},
    malformed: reason => { throw new Error(reason) }
  })
  for (; now < 10_000; now += 50) {
    age.read(now)
    questions.tick()
    const question = sent.at(-1)
    if (question === undefined) continue
    questions.receive('b', { kind: 'config-answer', payload: { question: question.payload, ageMs: 100, next: 7, version: now < 5000 ? 3 : 4 } })
  }
  assert.ok(sent.length >= 3 && sent.length <= 30, `${sent.length} questions`)
  assert.not(age.isCurrent(now))
})

test.run()
