import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createGatewayMetrics } from './gateway-metrics'

const test = suite('gateway metrics')

// Guards against metrics that cannot be read just when the process has no descriptors.
test('metrics are served with the last state of the process while it cannot be read', async () => {
  let descriptors: number | undefined = 17
  const metrics = createGatewayMetrics({
    memory: () => ({ rss: 1, heapUsed: 1, external: 1, arrayBuffers: 1 }),
    async descriptors () {
      if (descriptors === undefined) throw new Error('EMFILE: too many open files')
      return descriptors
    }
  })
  const errors: string[] = []
  const read = async (): Promise<string> => await metrics.text(err => { errors.push(err.message) })
  await read()
  descriptors = undefined
  assert.match(await read(), 'yuccawharf_process{name="descriptors"} 17')
  assert.equal(errors, ['EMFILE: too many open files'])
})

test.run()
