import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createPromptCache } from './prompt-cache'

const test = suite('prompt cache')

const demandOf = (ids: string[], tokens: number): { model: string, promptTokens: number, outputTokens: number, parts: { id: string, tokens: number }[] } =>
  ({ model: 'base', promptTokens: 1, outputTokens: 1, parts: ids.map(id => ({ id, tokens })) })

// Guards against a heap that is filled by parts which clients state to have next to no tokens.
test('the number of parts is bounded whatever their tokens are', () => {
  const cache = createPromptCache(10_000)
  const first = demandOf(['first'], 100)
  cache.use(first)
  for (let index = 0; index < 2000; index++) cache.use(demandOf([`a${index}`], 1e-6))
  assert.is(cache.cachedTokens(first), 100)
  for (let index = 0; index < 100; index++) cache.use(demandOf([`b${index}`], 1e-6))
  assert.is(cache.cachedTokens(first), 0, 'the least recently used part is dropped')
})

test.run()
