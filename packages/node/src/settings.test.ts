import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand'
import { formatFinding, parseSettings, splitAddress } from './settings'

const good = `
[node]
id = "n1"
zone = "muscat-a"
region = "muscat"
address = "10.0.0.1:7400"

[platform]
log = "http://10.0.0.9:8000"
instances = "http://10.0.0.9:8001"
weightStore = "http://10.0.0.9:8002/weights"
`

function findingsOf (text: string): string[] {
  const result = parseSettings(text, 'n.toml')
  return result.ok ? [] : result.val.map(formatFinding)
}

// Guards against built-in defaults of an engine overriding the operator's engineDefaults.
test('defaults are filled, and an engine inherits from engineDefaults', () => {
  const settings = parseSettings(`${good}[engineDefaults]\nreportLagMs = 500\n[engines."e 1"]\nchecksFencing = true\n[services.desk]\nnonIdempotent = ["POST /orders"]\n`, 'n.toml').unwrap()
  assert.is(settings.limits.queuedPerEngine, 2000)
  assert.is(settings.node.staleness, 'serve')
  assert.is(settings.metrics, undefined)
  assert.equal(settings.engines['e 1'], { checksFencing: true, reportLagMs: 500 })
  assert.equal(settings.engineDefaults, { checksFencing: false, reportLagMs: 500 })
  assert.equal(settings.services.desk, { nonIdempotent: ['POST /orders'], timeoutMs: 10000 })
})

// Guards against reporting only the first finding, so that an operator fixes them one by one.
test('findings of schema and cross-field checks come together, in the order of lines', () => {
  const bad = good.replace('zone = "muscat-a"', 'zone = ""\ncolour = 3').replace(':7400', ':70000').replace('http://10.0.0.9:8001', 'http://a?b')
  assert.equal(findingsOf(`${bad}\n[limits]\ndrainMs = -1\nqueuedPerAdapter = 3000\n\n[services.desk]\nnonIdempotent = [\n  "POST /a",\n  "POST /a"\n]\n[metrics]\nport = 0\n`), [
    'n.toml:4: node.zone is too short (allowed: string, not empty)',
    'n.toml:5: node.colour is not a setting (allowed: one of id, zone, region, address, staleness)',
    'n.toml:7: node.address has port 70000, which is not between 1 and 65535 (allowed: IP address and port, for example 10.1.2.3:7400 or [fd00::1]:7400)',
    'n.toml:11: platform.instances has a query, fragment or user name, which a base URL must not have (allowed: http or https URL)',
    'n.toml:15: limits.drainMs must be >= 0 (allowed: integer, at least 0 (ms))',
    'n.toml:16: limits.queuedPerAdapter is 3000, more than limits.queuedPerEngine (2000) (allowed: integer, at least 1)',
    'n.toml:19: services.desk.nonIdempotent names "POST /a" more than once (allowed: list of: METHOD /path-prefix, for example POST /orders)',
    'n.toml:23: metrics.host is missing (allowed: IP address)',
    'n.toml:24: metrics.port must be >= 1 (allowed: integer, at least 1, at most 65535)'
  ])
})

test('a syntax error names its line', () => {
  const [finding = ''] = findingsOf(`${good}[limits\n`)
  assert.match(finding, /^n\.toml:12: Invalid TOML/)
})

test('addresses must be reachable by other instances', () => {
  for (const address of ['0.0.0.0:7400', '[::]:7400', '10.0.0.1:0', '10.0.0.256:7400', 'fd00::1:7400', '[10.0.0.1]:7400']) {
    assert.is(findingsOf(good.replace('10.0.0.1:7400', address)).length, 1, address)
  }
  assert.equal(splitAddress('[fd00::1]:7400'), { host: 'fd00::1', port: 7400 })
})

// Guards against text in strings being parsed as keys, and against names that every object inherits.
test('names of objects and text inside strings are not mistaken for settings', () => {
  assert.equal(findingsOf(`${good}[engines.__proto__]\nchecksFencing = true\n[services.constructor]\ntimeoutMs = 5\n`), [])
  const [finding = ''] = findingsOf(`${good}[metrics]\nhost = "10.0.0.1"\nprefix = """\n[limits]\ndrainMs = 1\n"""\n[limits]\ndrainMs = 0.5\n`)
  assert.match(finding, /^n\.toml:19: limits\.drainMs/)
})

// Guards against exceptions: every text results in settings or findings. Seed 11, 3000 texts.
test('mutated settings never throw and always give findings with a message', () => {
  const random = xoroshiro128plus(11)
  const below = (bound: number): number => unsafeUniformIntDistribution(0, bound - 1, random)
  const pieces = ['[', ']', '"', '=', '\n', '.', '[limits]\n', '[engines.a]\n', 'x = 1\n', '-1', '1e400', 'nan', '{', '}', "'''", '"""', '\\u0000', '[[node]]\n', '2020-01-01', 'true', '#', '\ud800']
  for (let round = 0; round < 3000; round++) {
    let text = good
    for (let edits = 1 + below(4); edits > 0; edits--) {
      const at = below(text.length + 1)
      text = text.slice(0, at) + (below(2) === 0 ? '' : pieces[below(pieces.length)]!) + text.slice(at + below(12))
    }
    const result = parseSettings(text, 'n.toml')
    if (result.ok) assert.is(result.val.limits.queuedPerEngine, 2000)
    else assert.ok(result.val.length > 0 && result.val.every(finding => finding.message !== ''), JSON.stringify(text))
  }
})

test.run()
