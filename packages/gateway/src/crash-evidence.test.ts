import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createBlockedParts } from './blocked-parts'
import { createCrashEvidence, type CrashEvidence, type EvidenceAction, type EvidenceMessage } from './crash-evidence'

const test = suite('crash evidence')

type Player = {
  evidence: CrashEvidence
  now: number
  blocked: string[]
  shared: EvidenceMessage[]
  run (parts: string, engine: string): string
  /** Runs a request that streams for a second. */
  sound (parts: string): void
  lose (...ids: string[]): void
  /** An engine crashes on a request with these parts. */
  crash (parts: string, engine: string): void
  wait (ms: number): void
}

function createPlayer (): Player {
  const blockedParts = createBlockedParts()
  let count = 0
  const evidence = createCrashEvidence({
    isBlocked: part => blockedParts.find([part], player.now) !== undefined,
    wasBlocked: blockedParts.wasBlocked
  })
  function perform (actions: EvidenceAction[]): void {
    for (const action of actions) {
      if (action.type === 'share') player.shared.push(action.message)
      else if (action.type === 'block') {
        player.blocked.push(action.part)
        blockedParts.add(action.part, 0, player.now)
      }
    }
  }
  const player: Player = {
    evidence,
    now: 0,
    blocked: [],
    shared: [],
    run (parts, engine) {
      const id = `r${++count}`
      evidence.started({ id, service: 'llm', engine, parts: parts.split(' '), deadlineAt: player.now + 15_000 })
      return id
    },
    sound (parts) {
      const id = player.run(parts, 'other')
      evidence.firstEvent(id, player.now)
      player.wait(1000)
      perform(evidence.ended(id, 'ok', player.now))
    },
    lose (...ids) {
      for (const id of ids) perform(evidence.ended(id, 'disconnected', player.now))
    },
    crash (parts, engine) {
      player.lose(player.run(parts, engine))
      player.wait(200)
    },
    wait (ms) {
      player.now += ms
      perform(evidence.tick(player.now))
    }
  }
  return player
}

test('blocks a part that three engines crashed on, and not the part that sound requests share with it', () => {
  const player = createPlayer()
  for (const engine of ['e1', 'e2', 'e3']) {
    player.crash('system crash', engine)
    player.sound('system document')
  }
  assert.equal(player.blocked, ['crash'])
})

// Guards against refusing a whole class of requests whose sound ones rarely last while engines crash.
test('does not block a shared part that no request has cleared since the first crash', () => {
  const player = createPlayer()
  player.crash('system crash', 'e1')
  for (const engine of ['e2', 'e3']) {
    const waiting = ['system a', 'system b', 'system c'].map(parts => player.run(parts, engine))
    player.lose(player.run('system crash', engine), ...waiting)
    player.sound('unrelated')
  }
  assert.equal(player.blocked, ['crash'])
})

// Guards against blocking parts because a rack or all engines were lost at once.
test('blocks nothing when engines are lost at the same moment', () => {
  const player = createPlayer()
  player.sound('other')
  const runs = ['e1', 'e2', 'e3', 'e4'].map(engine => player.run('system document', engine))
  player.lose(...runs)
  player.sound('other')
  assert.equal(player.blocked, [])
})

// Guards against refusing everything when all engines fail for a reason of their own.
test('blocks nothing while no request of the service is sound', () => {
  const player = createPlayer()
  for (const engine of ['e1', 'e2', 'e3', 'e4', 'e5']) player.crash('system document', engine)
  assert.equal(player.blocked, [])
})

test('a request that sends events clears its parts', () => {
  const player = createPlayer()
  for (const engine of ['e1', 'e2', 'e3', 'e4', 'e5']) {
    player.crash('system document', engine)
    player.sound('system document')
    player.sound('other')
  }
  assert.equal(player.blocked, [])
})

// Guards against clearing the part of a crash by the few events that its request sent before.
test('the events of a request just before its engine crashes clear nothing', () => {
  const player = createPlayer()
  for (const engine of ['e1', 'e2', 'e3']) {
    const id = player.run('crash', engine)
    player.evidence.firstEvent(id, player.now)
    player.wait(100)
    player.lose(id)
    player.sound('other')
  }
  assert.equal(player.blocked, ['crash'])
})

// Guards against counting the crashes of a blocked part against those whose requests were lost with it.
test('later crashes of a blocked part count against no other part', () => {
  const player = createPlayer()
  for (const engine of ['e1', 'e2', 'e3']) {
    player.crash('crash', engine)
    player.sound('other')
  }
  for (const engine of ['e4', 'e5', 'e6', 'e7']) {
    player.lose(player.run('document', engine), player.run('crash', engine))
    player.sound('other')
  }
  assert.equal(player.blocked, ['crash'])
})

test('owners count the crashes of engines of other owners, and what those cleared', () => {
  const [first, second, third] = [createPlayer(), createPlayer(), createPlayer()]
  first.crash('system crash', 'e1')
  first.sound('other')
  second.crash('system crash', 'e2')
  second.sound('system document')
  for (const message of [...first.shared, ...second.shared]) third.evidence.receive(message, third.now += 200)
  assert.equal(third.blocked, [])
  third.crash('system crash', 'e3')
  third.sound('other')
  assert.equal(third.blocked, ['crash'])
})

test('one crash blocks a part again that was blocked before', () => {
  const player = createPlayer()
  for (const engine of ['e1', 'e2', 'e3']) {
    player.crash('crash', engine)
    player.sound('other')
  }
  player.now += 3_600_000
  player.sound('other')
  player.crash('crash', 'e4')
  player.sound('other')
  assert.equal(player.blocked, ['crash', 'crash'])
})

// Guards against a surge of rare parts that fills the memory of an owner.
test('remembers a bounded number of suspected parts', () => {
  const player = createPlayer()
  for (let index = 0; index < 5000; index++) player.lose(player.run(`part-${index}`, `e${index % 8}`))
  player.now += 200
  player.lose(player.run('part-4999', 'x1'))
  player.now += 200
  player.lose(player.run('part-4999', 'x2'))
  player.sound('other')
  assert.equal(player.blocked, ['part-4999'])
})

// Guards against questions to all nodes in any number while many servers are lost again and again.
test('asks about a bounded number of parts at a time, and not without end', () => {
  const evidence = createCrashEvidence({ isBlocked: () => false, wasBlocked: () => false, asksAll: true })
  const askedAt = (now: number): number => evidence.tick(now).filter(({ type }) => type === 'ask').length
  for (const engine of ['e1', 'e2', 'e3']) {
    for (let index = 0; index < 100; index++) {
      const id = `${engine}-${index}`
      evidence.started({ id, service: 'desk', engine, parts: [`request-${index}`], deadlineAt: 1000 })
      evidence.ended(id, 'disconnected', 0)
    }
  }
  assert.equal([askedAt(200), askedAt(500), askedAt(900)], [20, 0, 20])
  for (let now = 1000; now < 60_000; now += 200) askedAt(now)
  assert.is(askedAt(61_000), 0)
})

type Surge = {
  /** Requests with the part that were sent later than the allowed time after the fifth crash. */
  lateRequests: number
  crashes: number
  blocked: string[]
}

/** Time after the fifth crash in which requests with the part may still be sent, in ms. */
const contactMs = 3000

/**
 * Plays 8 engines that take four requests a second with the part and eight sound ones, of which some
 * share their first part and their documents with it. A crash ends all requests of its engine, which
 * is back after 2 s.
 * @param crashingFrom - time from which the part crashes engines; its requests are sound before
 * @param sentFrom - time from which requests with the part are sent
 */
function playSurge (seed: number, crashingFrom: number, sentFrom: number): Surge {
  const rng = xoroshiro128plus(seed)
  const draw = (most: number): number => unsafeUniformIntDistribution(0, most - 1, rng)
  const player = createPlayer()
  const engines = Array.from({ length: 8 }, (_, index) => ({ name: `e${index}`, starts: 0, backAt: 0, runs: new Map<string, { crashes: boolean, readUntil: number, endsAt: number }>() }))
  const crashTimes: number[] = []
  let lateRequests = 0
  for (; player.now < 20_000; player.wait(10)) {
    for (const engine of engines) {
      const crashing = [...engine.runs.values()].some(({ crashes, readUntil }) => crashes && player.now > readUntil + 50)
      for (const [id, run] of engine.runs) {
        if (run.readUntil <= player.now && !run.crashes) player.evidence.firstEvent(id, player.now)
        if (!crashing && run.endsAt > player.now) continue
        engine.runs.delete(id)
        if (crashing) player.lose(id)
        else player.evidence.ended(id, 'ok', player.now)
      }
      if (!crashing) continue
      crashTimes.push(player.now)
      engine.backAt = player.now + 2000
      engine.starts += 1
    }
    if (draw(100) >= 12) continue
    const up = engines.filter(({ backAt }) => backAt <= player.now)
    const engine = up[draw(Math.max(1, up.length))]
    if (engine === undefined) continue
    const kind = draw(3)
    if (kind === 0 && player.now < sentFrom) continue
    const parts = kind === 0 ? `query crash doc-${draw(40)}` : kind === 1 ? `query template-${draw(3)} doc-${draw(40)}` : `draft spec-${draw(100)}`
    if (player.blocked.some(part => parts.split(' ').includes(part))) continue
    if (kind === 0 && crashTimes.length >= 5 && player.now > crashTimes[4]! + contactMs) lateRequests += 1
    const readUntil = player.now + 50 + draw(400)
    engine.runs.set(player.run(parts, `${engine.name}#${engine.starts}`), { crashes: kind === 0 && player.now >= crashingFrom, readUntil, endsAt: readUntil + 500 + draw(2000) })
  }
  return { lateRequests, crashes: crashTimes.length, blocked: player.blocked }
}

const surges: [name: string, crashingFrom: number, sentFrom: number][] = [
  ['from the start', 0, 0],
  ['after sound traffic', 0, 5000],
  ['that was sound before', 5000, 0]
]

// Guards against finding the part late under a load of sound requests, and against refusing the parts that these share with it.
for (const [name, crashingFrom, sentFrom] of surges) {
  test(`in a surge, a part that crashes engines ${name} is blocked in time, and no part of many requests is`, () => {
    for (let seed = 1; seed <= 50; seed++) {
      const { lateRequests, blocked } = playSurge(seed, crashingFrom, sentFrom)
      assert.ok(lateRequests <= 3, `seed ${seed}: ${lateRequests} requests`)
      assert.ok(blocked.includes('crash'), `seed ${seed}: ${blocked.join()}`)
      assert.not.ok(blocked.some(part => /^(query|draft|template)/.test(part)), `seed ${seed}: ${blocked.join()}`)
    }
  })
}

test.run()
