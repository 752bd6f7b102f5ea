import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { commands } from './commands'
import { selectNodes } from './node-client'
import { run } from './run'

type Result = { code: number, out: string, err: string }
type Handler = (req: IncomingMessage, res: ServerResponse, body: string) => void

const directory = mkdtempSync(join(tmpdir(), 'yuccawharf-cli-'))
test.after(() => rmSync(directory, { recursive: true }))

async function command (...args: string[]): Promise<Result> {
  const lines = { out: [] as string[], err: [] as string[] }
  const code = await run(args, { out: line => lines.out.push(line), err: line => lines.err.push(line) })
  return { code, out: lines.out.join('\n'), err: lines.err.join('\n') }
}

function file (name: string, text: string): string {
  const path = join(directory, name)
  writeFileSync(path, text)
  return path
}

/** Calls `use` with the address of an HTTP server that stands in for a node. */
async function withNode (handler: Handler, use: (address: string) => Promise<void>): Promise<void> {
  const server: Server = createServer((req, res) => {
    let body = ''
    req.on('data', chunk => { body += String(chunk) })
    req.on('end', () => handler(req, res, body))
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  try {
    await use(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  } finally {
    server.closeAllConnections()
    await new Promise(resolve => server.close(resolve))
  }
}

const jsonHandler = (status: number, body: unknown): Handler => (_req, res) => {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

const closedAddress = '127.0.0.1:1'
const classFile = file('class.toml', '[class.draft]\nfinishWithinMs = 1000\nattainment = 0.9\n')
const goodSettings = '[node]\nid = "n1"\nzone = "a"\nregion = "r"\naddress = "10.0.0.1:7400"\n[platform]\nlog = "http://x:1"\ninstances = "http://x:2"\nweightStore = "http://x:3"\n'

// Guards against a flag that is missing from the help, and against help that contacts a node.
test('the help of every command explains each of its flags', async () => {
  assert.is((await command('--help')).code, 0)
  for (const { name, flags } of commands) {
    const { code, out } = await command(...name.split(' '), '--help')
    assert.is(code, 0)
    for (const flag of Object.keys(flags)) assert.match(out, `--${flag.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)}`)
  }
})

// Guards against usage errors that look like a result, in particular an empty --base that counts as revision 0.
test('usage errors give exit code 2 and are all reported', async () => {
  const cases: [string[], RegExp][] = [
    [[], /a command is needed/],
    [['config', 'set'], /config set is not a command/],
    [['check'], /check needs FILE/],
    [['check', 'a', '--nope', '--also=1'], /--nope is not a flag of check\n.*--also is not a flag/],
    [['config', 'apply', classFile], /--base is required/],
    [['config', 'apply', classFile, '--base', ''], /--base needs a value/],
    [['config', 'apply', classFile, '--base', '--wait'], /--base needs a value/],
    [['config', 'apply', classFile, '--base', '0x1'], /--base must be a whole number/],
    [['config', 'apply', classFile, '--base', '1', '--base', '2'], /--base can be given once/],
    [['config', 'apply', classFile, 'b', '--base', '1'], /at most 1 arguments/],
    [['config', 'apply', classFile, '--base', '1', '--delete', 'class/draft'], /both in the file and in --delete/],
    [['timeline', '--node'], /--node needs a value/],
    [['status', '--node', 'a b'], /a b is not an address/],
    [['status', '--node', 'x:1/path'], /is not an address/]
  ]
  for (const [args, pattern] of cases) {
    const { code, err } = await command(...args)
    assert.is(code, 2, args.join(' '))
    assert.match(err, pattern)
  }
})

test('check reports the findings of all files, settings and configuration', async () => {
  const good = file('good.toml', goodSettings)
  const bad = file('bad.toml', goodSettings.replace(':7400', ':99999').replace('id = "n1"', 'id = 1'))
  assert.is((await command('check', good)).code, 0)
  const { code, out, err } = await command('check', bad, join(directory, 'missing.toml'), good)
  assert.is(code, 1)
  assert.match(out, /bad\.toml:2: node\.id must be string .*\n.*bad\.toml:5: node\.address has port 99999.*\n.*missing\.toml: cannot be read/)
  assert.match(err, 'files: 3, findings: 3')
  const reported = JSON.parse((await command('check', bad, '--json')).out) as { findings: { path: string, line: number }[] }
  assert.equal(reported.findings.map(({ path, line }) => ({ path, line })), [{ path: 'node.id', line: 2 }, { path: 'node.address', line: 5 }])
  const config = file('config.toml', '[class.draft]\nattainment = 2\n[clas.x]\n[adapter."a b"]\nmodel = "m"\nversions = []\n')
  const findings = (await command('check', '--config', config)).out
  assert.match(findings, /config\.toml:1: class\.draft needs one of firstTokenMs, finishWithinMs/)
  assert.match(findings, /config\.toml:2: class\.draft\.attainment must be <= 1 \(allowed: number, more than 0, at most 1\)/)
  assert.match(findings, /config\.toml:3: clas is not a kind of configuration \(allowed: one of class, model, adapter\)/)
  assert.match(findings, /config\.toml:6: adapter\."a b"\.versions has too few items/)
  assert.is((await command('check', '--config', classFile)).code, 0)
})

// Guards against two nodes with the same id: each would accept the other's messages as its own.
test('settings checked together must not share an id or an address', async () => {
  const first = file('first.toml', goodSettings)
  const second = file('second.toml', goodSettings.replace('10.0.0.1', '10.0.0.2'))
  const { code, out } = await command('check', first, second, first)
  assert.is(code, 1)
  assert.is(out, `${second}:2: node.id is n1 as in ${first}, but each node needs its own`)
})

// Guards against a script that treats a conflict, a refusal or an unknown result as success.
test('config apply gives each result its exit code', async () => {
  const conflict = { type: 'conflict', conflicts: [{ key: 'class/draft', revision: 9, current: { attainment: 1 }, yours: null }] }
  const results: [Handler, number, RegExp][] = [
    [jsonHandler(200, { type: 'accepted', revision: 4, behind: [] }), 0, /accepted as revision 4/],
    [jsonHandler(200, { type: 'accepted', revision: 4, behind: [{ node: 'n2', revision: 3 }] }), 4, /not yet in force on n2, which has revision 3/],
    [jsonHandler(200, conflict), 1, /class\/draft was changed at revision 9\n {2}in force: \{"attainment":1\}\n {2}yours: {4}null/],
    [jsonHandler(200, { type: 'invalid', findings: [{ path: 'class/draft', message: 'm' }] }), 1, /class\/draft: m/],
    [jsonHandler(200, { type: 'unknown', id: 'c1', reason: 'lost' }), 3, /unknown: lost/],
    [jsonHandler(503, { type: 'about:blank', title: 'Not run', status: 503, outcome: 'not-run' }), 1, /Not run/],
    [jsonHandler(200, { type: 'accepted' }), 3, /body of another form/],
    [jsonHandler(500, {}), 3, /answered 500/],
    [(_req, res) => res.destroy(), 3, /cannot be asked/]
  ]
  for (const [handler, code, pattern] of results) {
    await withNode(handler, async address => {
      const result = await command('config', 'apply', classFile, '--base', '3', '--id', 'c1', '--node', address)
      assert.is(result.code, code, result.out)
      assert.match(result.out, pattern)
      if (code === 3) assert.match(result.err, /history --limit 100 --id c1/)
    })
  }
})

// Guards against applying a change twice: one that may have reached a node must not be sent to the next.
test('config apply tries the next node only when nothing was sent to the first', async () => {
  let requests = 0
  let sent: unknown
  const accept: Handler = (req, res, body) => {
    requests++
    sent = JSON.parse(body)
    jsonHandler(200, { type: 'accepted', revision: 4, behind: [] })(req, res, body)
  }
  await withNode(accept, async address => {
    assert.is((await command('config', 'apply', classFile, '--base', '-1', '--by', 'op', '--id', 'c1', '--delete', 'model/m', '--read', 'class/x', '--wait', '--node', closedAddress, '--node', address)).code, 0)
    assert.equal(sent, { id: 'c1', base: -1, writes: { 'class/draft': { finishWithinMs: 1000, attainment: 0.9 }, 'model/m': null }, reads: ['class/x'], by: 'op', waitMs: 9000 })
    await withNode((_req, res) => res.destroy(), async broken => {
      assert.is((await command('config', 'apply', classFile, '--base', '3', '--node', broken, '--node', address)).code, 3)
      assert.is(requests, 1)
    })
  })
})

test('config get prints what config apply reads, and reports unknown keys', async () => {
  const entries = [{ key: 'class/a b', revision: 1, value: { attainment: 0.5, firstTokenMs: 9 } }, { key: 'adapter/x/y', revision: 2, value: { model: 'm', versions: ['1'] } }]
  await withNode(jsonHandler(200, { revision: 2, entries }), async address => {
    const { code, out } = await command('config', 'get', '--node', address)
    assert.is(code, 0)
    assert.match(out, /^# revision 2\n/)
    assert.is((await command('check', '--config', file('again.toml', out))).code, 0)
    const one = await command('config', 'get', 'class/a b', 'class/none', '--json', '--node', address)
    assert.is(one.code, 1)
    assert.equal(JSON.parse(one.out).entries, [entries[0]])
    assert.match(one.err, 'class/none is not configured')
  })
})

test('config history finds one change by its id', async () => {
  const change = { offset: 3, time: 0, id: 'c1', by: 'op\n', base: 2, keys: ['class/a'], outcome: 'accepted' }
  await withNode(jsonHandler(200, { revision: 3, changes: [change] }), async address => {
    const found = await command('config', 'history', '--id', 'c1', '--node', address)
    assert.is(found.out, '3 1970-01-01T00:00:00.000Z accepted by "op\\n" base 2 id c1: class/a')
    assert.is((await command('config', 'history', '--id', 'c2', '--node', address)).code, 1)
  })
})

test('status and addresses print tables or JSON', async () => {
  const status = {
    node: 'n1',
    zone: 'a',
    region: 'r',
    incarnation: 0,
    state: 'live',
    revision: 4,
    logContactAgeMs: null,
    nodes: [{ id: 'n1', address: 'x:1', zone: 'a', state: 'live', revision: -1 }],
    engines: [{ id: 'e1', owner: null, term: -1, state: 'live', slots: 8, resident: null, running: null, queued: 3 }],
    classes: [{ name: 'draft', target: 0.95, attained: 0.5, requests: 10 }]
  }
  await withNode(jsonHandler(200, status), async address => {
    const { out } = await command('status', '--node', address)
    for (const line of [/last response of the log never/, /^n1 +x:1 +a +live +-$/m, /^e1 +- +- +live +- +- +- +3$/m, /^draft +95\.0 % +50\.0 % +10$/m]) assert.match(out, line)
    assert.equal(JSON.parse((await command('status', '--json', '--node', address)).out), status)
    assert.is((await command('addresses', '--node', address)).code, 3)
  })
  const addresses = { addresses: [{ address: 'x:1', zone: 'a' }], keepForMs: 5000, revision: 4, orderKeyPrefix: '3.17' }
  const paths: string[] = []
  await withNode((req, res, body) => {
    paths.push(req.url ?? '')
    jsonHandler(200, addresses)(req, res, body)
  }, async address => {
    const { out } = await command('addresses', '--model', 'b:a@1', '--zone', 'a', '--node', address)
    assert.match(out, /keep for 5000 ms, revision 4\nidempotency keys start with 3\.17/)
    assert.equal(paths, ['/v1/addresses?model=b%3Aa%401&zone=a'])
  })
})

// Guards against a timeline that silently lacks the events of a node that did not respond.
test('timeline merges nodes and files, and reports missing sources', async () => {
  const event = (process: string, time: number, request: string) => ({ time, counter: 0, process, kind: 'k', request })
  const saved = file('n2.json', JSON.stringify({ process: 'n2', dropped: 3, events: [event('n2', 2, 'r1'), event('n2', 3, 'r2')] }))
  await withNode(jsonHandler(200, { process: 'n1', dropped: 0, events: [event('n1', 1, 'r1'), { ...event('n1', 4, 'r1'), adapter: 'poem@1~3.1' }] }), async address => {
    const { code, out, err } = await command('timeline', saved, '--request', 'r1', '--node', address)
    assert.is(code, 0)
    assert.equal(out.split('\n').map(line => line.split(' ')[1]), ['n1', 'n2', 'n1'])
    assert.match(err, 'n2 no longer has 3 older events')
    assert.is((await command('timeline', '--adapter', 'poem', '--node', address)).out, '1970-01-01T00:00:00.004Z n1 k request=r1 adapter=poem@1~3.1')
    const partial = await command('timeline', '--node', address, '--node', closedAddress)
    assert.is(partial.code, 3)
    assert.match(partial.err, /127\.0\.0\.1:1 cannot be asked/)
  })
  assert.is((await command('timeline', saved)).code, 0)
  assert.is((await command('timeline', classFile)).code, 1)
  const trace = join(directory, 'trace.json')
  assert.is((await command('timeline', saved, '--trace', trace)).code, 0)
  assert.ok((JSON.parse(readFileSync(trace, 'utf8')) as { traceEvents: unknown[] }).traceEvents.length >= 4)
  assert.is((await command('timeline', saved, '--trace', join(directory, 'no', 'trace.json'))).code, 1)
})

test('nodes come from the flags, else from the environment, else the local node', () => {
  assert.equal(selectNodes(['a:1'], 'b:2'), ['a:1'])
  assert.equal(selectNodes([], 'b:2, c:3'), ['b:2', 'c:3'])
  assert.equal(selectNodes([], undefined), ['127.0.0.1:7400'])
})

test.run()
