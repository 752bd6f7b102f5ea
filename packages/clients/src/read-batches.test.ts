import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createReadBatches, type ReadBatches } from './read-batches'

const test = suite('read batches')
const longMs = 30
/** The server of a crowd. */
const front = {}
const readMs = 5

/** Opens connections and reads all of them in a turn that takes long. */
function overload (names: string[]): ReadBatches<string> {
  const batches = createReadBatches<string>()
  for (const name of names) batches.opened(name, front)
  batches.turnStarted(0)
  for (const name of names) batches.received(name, name === names.at(-1) ? longMs : 0)
  return batches
}

/** Plays turns in which each connection that may be read is read. @returns the connections that were read in each turn */
function play (batches: ReadBatches<string>, turns: number): string[][] {
  const read: string[][] = []
  const readable: string[] = []
  let now = longMs
  for (let turn = 0; turn < turns; turn++) {
    for (const { type, connection } of batches.turnEnded(now)) if (type === 'release') readable.push(connection)
    batches.turnStarted(now)
    const inTurn = readable.splice(0)
    for (const connection of inTurn) {
      now += readMs
      batches.received(connection, now)
    }
    read.push(inTurn)
  }
  return read
}

// Guards against turns in which hundreds of connections are read while new ones wait to be accepted.
test('after a turn that took long, connections are read in batches, each in its turn', () => {
  const names = Array.from({ length: 40 }, (_, index) => `c${index}`)
  const batches = overload(names)
  assert.is(batches.waiting(), 40)
  const read = play(batches, 60)
  assert.ok(read.slice(2).every(({ length }) => length * readMs <= 2 * longMs), JSON.stringify(read))
  const counts = names.map(name => read.flat().filter(other => other === name).length)
  assert.ok(Math.max(...counts) - Math.min(...counts) <= 1, counts.join(' '))
})

// Guards against new clients that wait for ever, and against a crowd of new connections that are all parsed in one turn.
test('of new connections that have not been read, those wait for later turns for which a turn has no time', () => {
  const batches = createReadBatches<string>()
  const names = ['crowd1', 'crowd2', 'new1', 'new2']
  for (const name of names) batches.opened(name, front)
  batches.turnStarted(0)
  assert.equal(batches.received('crowd1', 10), [])
  assert.equal(batches.received('crowd2', longMs).map(({ type, connection }) => `${type} ${connection}`), ['hold new1', 'hold new2', 'hold crowd1', 'hold crowd2'])
  assert.is(batches.turnEnded(longMs)[0]!.connection, 'new1')
})

// Guards against clients that wait to be accepted although the process has stopped reading.
test('no batch is read in turns in which connections are accepted, for a while', () => {
  const batches = overload(['a', 'b'])
  let now = longMs
  batches.accepted()
  for (; batches.turnEnded(now).length === 0; now += 10) {
    assert.ok(now < 1000)
    batches.turnStarted(now)
    batches.accepted()
  }
  assert.ok(now >= 200 && now <= 300, `${now} ms`)
})

// Guards against a new client that waits for each connection of a crowd that was there before, and for all that came with it.
test('a new connection waits neither for those that have been read before nor for all other new ones', () => {
  const batches = overload(Array.from({ length: 100 }, (_, index) => `c${index}`))
  for (let index = 0; index < 200; index++) batches.opened(`n${index}`, front)
  const read = play(batches, 60)
  const turnOf = (name: string): number => read.findIndex(names => names.includes(name))
  assert.ok(turnOf('n199') >= 0 && turnOf('n199') < 4, String(turnOf('n199')))
  assert.ok(turnOf('n0') >= 0 && turnOf('n0') < 4, String(turnOf('n0')))
  assert.ok(turnOf('c0') >= 0, 'connections that were read before are read, too')
})

// Guards against responses and messages of other nodes that wait for each connection of a crowd on the port of clients.
test('a connection of another group does not wait for those of a crowd', () => {
  const batches = overload(Array.from({ length: 100 }, (_, index) => `c${index}`))
  for (let index = 0; index < 100; index++) batches.opened(`n${index}`, front)
  batches.opened('server', {})
  const turn = play(batches, 10).findIndex(names => names.includes('server'))
  assert.ok(turn >= 0 && turn < 2, String(turn))
})

// Guards against a process that reads in batches for ever.
test('connections are read freely again when all have had their turn in a short one', () => {
  const batches = overload(['a', 'b', 'c'])
  for (let turn = 0; batches.waiting() > 0; turn++) {
    assert.ok(turn < 10)
    batches.turnEnded(longMs)
    batches.turnStarted(longMs)
  }
  assert.equal(batches.received('a', longMs), [])
})

// Guards against a turn that is left to a connection that has gone.
test('a connection that closes gives up its place', () => {
  const batches = overload(['gone', 'next'])
  batches.closed('gone')
  assert.is(batches.waiting(), 1)
  assert.equal(batches.turnEnded(longMs).map(({ connection }) => connection), ['next'])
})

test.run()
