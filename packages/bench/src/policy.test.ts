import { readFileSync, readdirSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createArrivals } from './arrivals'
import { compare } from './compare'
import { policies } from './policies'
import { runPolicy } from './runner'
import { WorkloadError, parseWorkload } from './workload'
import type { Fault, Workload } from './workload'

const folder = new URL('../workloads/', import.meta.url)
const source = readFileSync(new URL('muscat-rainy.toml', folder), 'utf8')

/** A small version of the rainy workload: 3 servers for 150 s. */
const smallWorkload = (fault: Fault[] = []): Workload => {
  const workload = parseWorkload(source, 'muscat-rainy.toml')
  return {
    ...workload,
    seconds: 150,
    warmupSeconds: 20,
    arrivalsPerSecond: 2,
    servers: { ...workload.servers, count: 3 },
    nodes: { ...workload.nodes, count: 3 },
    adapters: { count: 400, skew: 1.1 },
    surge: [{ atSeconds: 40, rampSeconds: 20, forSeconds: 60, factor: 2 }],
    activation: [{ atSeconds: 40, forSeconds: 80, adapters: 50, share: 0.15 }],
    fault
  }
}

/** Every request must finish under any fault. The simulated engines and the recorder throw when a guarantee is violated. */
const runToCompletion = (workload: Workload, name = 'current') => {
  const result = runPolicy(workload, policies[name]!, 3)
  assert.is(result.unfinished, 0)
  return result
}

test('a run with a fixed seed gives the same output twice (guards against hidden clocks and randomness)', () => {
  const names = ['affinity-lru', 'current']
  const first = JSON.stringify(compare(smallWorkload(), 5, names))
  assert.is(JSON.stringify(compare(smallWorkload(), 5, names)), first)
  assert.is.not(JSON.stringify(compare(smallWorkload(), 6, names)), first)
})

test('all invalid fields are reported at once with their paths (guards against fixing a file field by field)', () => {
  const invalid = source.replace('batchSize = 16', 'batchSize = 0').replace('skew = 1.1', 'skwe = 1.1').replace('share = 0.8', 'share = "most"')
  try {
    parseWorkload(invalid, 'wrong.toml')
    assert.unreachable()
  } catch (err) {
    assert.instance(err, WorkloadError)
    const paths = (err as WorkloadError).findings.map((finding) => finding.split(':')[0])
    assert.equal(paths.sort(), ['adapters', 'adapters', 'class.0.share', 'servers.batchSize'])
  }
})

test('every shipped workload is valid and the surge doubles the arrivals (guards against a broken file)', () => {
  for (const file of readdirSync(folder)) {
    const workload = parseWorkload(readFileSync(new URL(file, folder), 'utf8'), file)
    assert.is(`${workload.name}.toml`, file)
  }
  const arrivals = createArrivals(parseWorkload(source, 'muscat-rainy.toml'), 1)
  const count = (from: number, to: number): number => arrivals.filter(({ arrivedAt }) => arrivedAt >= from * 1000 && arrivedAt < to * 1000).length
  const growth = count(420, 620) / count(100, 300)
  assert.ok(growth > 1.8 && growth < 2.2, `grew by ${growth}`)
})

test('all policies finish every request (guards against lost requests and starvation)', () => {
  for (const name of Object.keys(policies)) {
    runToCompletion(smallWorkload(), name)
  }
})

test('failed, lost and hanging loads leave no request unfinished (guards against leaked slots and permits)', () => {
  for (const type of ['load-fails', 'load-lost', 'load-hangs'] as const) {
    runToCompletion(smallWorkload([{ type, atSeconds: 30, forSeconds: 60, value: 0.4 }]))
  }
})

test('cold restarts with running and queued requests lose no request (guards against stale handles)', () => {
  const result = runToCompletion(smallWorkload([{ type: 'engine-restart', atSeconds: 60, index: 0 }, { type: 'engine-restart', atSeconds: 90, index: 1 }]))
  assert.ok((result.refusals['broken-by-restart'] ?? 0) > 0, 'the restart hit running requests')
})

test('loads continue after the loss of any node, the permit issuer included (guards against permits lost with their issuer)', () => {
  for (let index = 0; index < 3; index += 1) {
    const result = runToCompletion(smallWorkload([{ type: 'node-loss', atSeconds: 60, index }]))
    const after = result.series.filter(({ seconds }) => seconds >= 80 && seconds < 120)
    assert.ok(after.every(({ loads }) => loads > 0), 'loads continue')
  }
})

test('a slow weight store leads to early refusals instead of long queues (guards against unbounded waits)', () => {
  const result = runToCompletion(smallWorkload([{ type: 'store-slow', atSeconds: 40, forSeconds: 60, value: 60 }]))
  assert.ok(result.classes.short!.refused > 0)
  assert.ok(result.classes.short!.longestWaitMs <= 60_500)
})

test('a flood of requests for one adapter does not cost the others their targets (guards against unfair queues)', () => {
  const workload = smallWorkload()
  const flooded = { ...workload, activation: [{ atSeconds: 40, forSeconds: 80, adapters: 1, share: 0.6 }] }
  const result = runToCompletion(flooded)
  assert.ok(result.classes.short!.attained > 0.9, `attained ${result.classes.short!.attained}`)
})

test('a version change under load runs every request on its version (guards against violations of P1)', () => {
  const workload = smallWorkload()
  runToCompletion({ ...workload, version: [0, 1, 2, 3].map((rank) => ({ atSeconds: 50 + rank * 10, rank })) })
})

test.run()
