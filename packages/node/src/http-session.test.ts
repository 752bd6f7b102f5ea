import { existsSync, readFileSync, writeFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { startCluster } from './testing/cluster'

const goldenFile = new URL('testing/http-session.golden.txt', import.meta.url)
/** Headers that callers rely on; the values of others depend on the time or on Node.js. */
const shownHeaders = ['content-type', 'x-request-id', 'retry-after', 'allow', 'cache-control']

type Step = { title: string, method?: string, path: string, headers?: Record<string, string>, body?: unknown, node?: string }

const chat = { 'x-class': 'chat' }
const red = { model: 'base:red@1', prompt: 'hello', max_tokens: 3 }

const steps: Step[] = [
  { title: 'addresses', path: '/v1/addresses?model=base:red@1&zone=a' },
  { title: 'a streamed completion at the owner', method: 'POST', path: '/v1/completions', headers: { ...chat, 'x-request-id': 's1' }, body: { ...red, stream: true } },
  { title: 'the same request again is answered from the kept events', method: 'POST', path: '/v1/completions', headers: { ...chat, 'x-request-id': 's1' }, body: { ...red, stream: true } },
  { title: 'resumed after event 2 at another node', path: '/v1/completions/s1', headers: { 'last-event-id': '2' }, node: 'n2' },
  { title: 'resumed after the last event', path: '/v1/completions/s1', headers: { 'last-event-id': '3' } },
  { title: 'a whole completion through one hop', method: 'POST', path: '/v1/completions', headers: { ...chat, 'x-request-id': 's2' }, body: { ...red, stream: false }, node: 'n2' },
  { title: 'the id of another request', method: 'POST', path: '/v1/completions', headers: { ...chat, 'x-request-id': 's1' }, body: { ...red, prompt: 'other' } },
  { title: 'all findings at once', method: 'POST', path: '/v1/completions', headers: { 'x-deadline-ms': '0' }, body: { model: 'red', prompt: '', top_p: 1 } },
  { title: 'an unknown version', method: 'POST', path: '/v1/completions', headers: { ...chat, 'x-request-id': 's3' }, body: { ...red, model: 'base:red@7' } },
  { title: 'an unknown request', path: '/v1/completions/none' },
  { title: 'cancelled after its end', method: 'POST', path: '/v1/completions/s1/cancel' },
  { title: 'an idempotent call', path: '/v1/services/desk/quotes?limit=2' },
  { title: 'an order without its key', method: 'POST', path: '/v1/services/desk/orders', body: { item: 'quote' } },
  { title: 'an order', method: 'POST', path: '/v1/services/desk/orders', headers: { 'idempotency-key': '0.7-0f1e' }, body: { item: 'quote' } },
  { title: 'configuration', path: '/admin/config' },
  { title: 'a wrong method', method: 'DELETE', path: '/v1/addresses' },
  { title: 'a leaving engine', method: 'POST', path: '/v1/completions', headers: { ...chat, 'x-request-id': 's4' }, body: { ...red, prompt: 'late' }, node: 'n2' }
]

test('a whole session gives the recorded responses', async () => {
  // Guards against unintended changes to the caller API: statuses, documents, events and their order.
  const cluster = await startCluster({ nodes: ['n1', 'n2'], owners: { e1: 'n1' }, placement: { 'red@1': 'e1' } })
  const lines: string[] = []
  try {
    for (const step of steps) {
      const { title, method = 'GET', path, headers = {}, body, node = 'n1' } = step
      if (title === 'a leaving engine') cluster.engines.e1?.setDraining(true)
      const response = await fetch(`${cluster.url[node] as string}${path}`, { method, headers, body: body === undefined ? undefined : JSON.stringify(body) })
      const text = await response.text()
      lines.push(`### ${title}`, `> ${node} ${method} ${path}`, ...Object.entries(headers).map(([name, value]) => `> ${name}: ${value}`))
      if (body !== undefined) lines.push(`> ${JSON.stringify(body)}`)
      lines.push(`< ${response.status}`, ...shownHeaders.filter(name => response.headers.has(name)).map(name => `< ${name}: ${response.headers.get(name) ?? ''}`), text.trimEnd(), '')
    }
  } finally {
    await cluster.close()
  }
  const stable = lines.join('\n').replace(/127\.0\.0\.1:\d+/g, 'ADDRESS').replace(/"created":\d+/g, '"created":TIME')
  if (!existsSync(goldenFile) && process.env.WRITE_GOLDEN === '1') writeFileSync(goldenFile, stable)
  assert.fixture(stable, readFileSync(goldenFile, 'utf8'))
})

test.run()
