import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPieceBatch, type PieceBatch } from './piece-batch'

const test = suite('batches of pieces')

type Passed = [text: string, pieces: number]

function collect (): { batch: PieceBatch, passed: Passed[] } {
  const passed: Passed[] = []
  return { batch: createPieceBatch((bytes, pieces) => { passed.push([bytes.toString(), pieces]) }, assert.unreachable), passed }
}

// Guards against work for each piece of a response.
test('the pieces of one turn are passed on as one', async () => {
  const { batch, passed } = collect()
  for (const text of 'abc') batch.push(Buffer.from(text))
  assert.equal(passed, [])
  await Promise.resolve()
  batch.push(Buffer.from('d'))
  await Promise.resolve()
  assert.equal(passed, [['abc', 3], ['d', 1]])
})

// Guards against a response whose end overtakes its last bytes.
test('a flush passes on at once what was collected, and nothing twice', async () => {
  const { batch, passed } = collect()
  batch.push(Buffer.from('a'))
  batch.flush()
  batch.flush()
  await Promise.resolve()
  assert.equal(passed, [['a', 1]])
})

test('a batch of the size of a read does not wait', () => {
  const { batch, passed } = collect()
  batch.push(Buffer.alloc(64 * 1024, 'x'))
  assert.is(passed.length, 1)
})

test('nothing is passed on after a discard', async () => {
  const { batch, passed } = collect()
  batch.push(Buffer.from('a'))
  batch.discard()
  batch.push(Buffer.from('b'))
  await Promise.resolve()
  assert.equal(passed, [])
})

// Guards against an exception of a consumer that ends the process instead of the request.
test('an exception of the consumer is reported', async () => {
  const errors: string[] = []
  const batch = createPieceBatch(() => { throw new Error('refused') }, err => { errors.push(err.message) })
  batch.push(Buffer.from('a'))
  await Promise.resolve()
  batch.push(Buffer.from('b'))
  await Promise.resolve()
  assert.equal(errors, ['refused'])
})

test.run()
