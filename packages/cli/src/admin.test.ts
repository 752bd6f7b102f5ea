/** The commands against two real nodes with the platform's stand-ins. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createNode, type RunningNode } from '@yuccawharf/node'
import { parseSettings } from '@yuccawharf/node/settings'
import { createEngineModel, createInstanceListModel, createLogModel, createRealClock, createWeightStoreModel, serveEngine, serveInstanceList, serveLog, type LogModel, type StandInServer, findFreeAddress } from '@yuccawharf/stand-ins'
import { run } from './run'

type Context = { directory: string, servers: StandInServer[], nodes: RunningNode[], log: LogModel }

const test = suite<Context>('admin')
const silent = { error () {}, warn () {}, info () {}, debug () {} }
const readyTimeoutMs = 15_000

function settingsText (id: string, address: string, log: string, instances: string): string {
  return `[node]\nid = "${id}"\nzone = "a"\nregion = "r"\naddress = "${address}"\n[platform]\nlog = "${log}"\ninstances = "${instances}"\nweightStore = "http://127.0.0.1:1"\n`
}

async function command (context: Context, ...args: string[]): Promise<{ code: number, out: string, err: string }> {
  const lines = { out: [] as string[], err: [] as string[] }
  const nodes = context.nodes.flatMap(node => ['--node', node.address])
  const code = await run([...args, ...nodes], { out: line => lines.out.push(line), err: line => lines.err.push(line) })
  return { code, out: lines.out.join('\n'), err: lines.err.join('\n') }
}

async function apply (context: Context, text: string, base: number, ...args: string[]): Promise<{ code: number, out: string, err: string }> {
  const file = join(context.directory, 'change.toml')
  writeFileSync(file, text)
  return await command(context, 'config', 'apply', file, '--base', String(base), '--by', 'tester', ...args)
}

/** Repeats a command until its output shows the state, because nodes learn of each other with a delay. */
async function eventually (attempt: () => Promise<boolean>): Promise<void> {
  const until = Date.now() + readyTimeoutMs
  while (!await attempt()) {
    assert.ok(Date.now() < until, 'the state was not reached in time')
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

test.before(async context => {
  const clock = createRealClock()
  const list = createInstanceListModel({ clock })
  context.directory = mkdtempSync(join(tmpdir(), 'yuccawharf-admin-'))
  context.log = createLogModel({ clock })
  const engine = createEngineModel({ clock, weights: createWeightStoreModel({ clock }), engine: 'e1', baseModel: 'base' })
  const [logServer, listServer, engineServer] = await Promise.all([serveLog(context.log), serveInstanceList(list), serveEngine(engine)])
  context.servers = [logServer, listServer, engineServer]
  context.nodes = []
  const place = { zone: 'a', region: 'r', state: 'live' as const }
  list.put({ id: 'e1', kind: 'engine', group: 'engines', address: engineServer.address, ...place })
  for (const id of ['n1', 'n2']) {
    const address = await findFreeAddress()
    list.put({ id, kind: 'node', group: 'nodes', address, ...place })
    const settings = parseSettings(settingsText(id, address, logServer.url, listServer.url), id).unwrap()
    context.nodes.push(await createNode(settings, { logger: silent as never, seed: 1 }))
  }
})

test.after(async context => {
  for (const node of context.nodes) await node.kill()
  for (const server of context.servers) await server.close()
  rmSync(context.directory, { recursive: true })
})

// Guards against commands and daemon that drift apart in the form of a body or the meaning of a result.
test('a change is accepted everywhere, conflicts, is invalid, and shows in the history', async context => {
  const draft = (attainment: number): string => `[class.draft]\nfinishWithinMs = 60000\nattainment = ${attainment}\n`
  const accepted = await apply(context, `${draft(0.9)}[model.base]\ngroup = "engines"\n[adapter.poem]\nmodel = "base"\nversions = ["1"]\n`, -1, '--wait')
  assert.is(accepted.code, 0, accepted.out + accepted.err)
  const revision = Number(/accepted as revision (\d+)/.exec(accepted.out)?.[1])
  const shown = await command(context, 'config', 'get')
  assert.match(shown.out, `# revision ${revision}\n`)
  const conflict = await apply(context, draft(0.8), revision - 1)
  assert.is(conflict.code, 1, conflict.out)
  assert.match(conflict.out, /class\/draft was changed at revision \d+\n {2}in force: .*0\.9.*\n {2}yours: .*0\.8/)
  const invalid = await apply(context, '[adapter.tale]\nmodel = "none"\nversions = ["1"]\n', revision)
  assert.is(invalid.code, 1)
  assert.match(invalid.out, /invalid, nothing was applied\nadapter\/tale/)
  const history = await command(context, 'config', 'history', '--json')
  const { changes } = JSON.parse(history.out) as { changes: { outcome: string, by: string }[] }
  assert.equal(changes.map(change => `${change.outcome} ${change.by}`), ['accepted tester', 'conflict tester', 'invalid tester'])
})

// Guards against a lost response that applies a change twice or reports it as not applied.
test('an append with a lost response is found out, and a repetition by its id applies it once', async context => {
  const { revision } = JSON.parse((await command(context, 'config', 'get', '--json')).out) as { revision: number }
  const text = '[class.chat]\nfirstTokenMs = 1000\nattainment = 0.95\n'
  context.log.loseNextResponse()
  const first = await apply(context, text, revision, '--id', 'lost-1')
  assert.ok(first.code === 0 || first.code === 3, first.out)
  const listed = await command(context, 'config', 'history', '--id', 'lost-1')
  assert.match(listed.out, /accepted by "tester"/)
  await apply(context, text, revision, '--id', 'lost-1')
  const again = await command(context, 'config', 'history', '--id', 'lost-1')
  assert.is(again.out, listed.out)
})

test('during an outage of the log a change is refused as not run', async context => {
  context.log.setOutage(true)
  const refused = await apply(context, '[class.chat]\nfirstTokenMs = 900\nattainment = 0.95\n', 99)
  context.log.setOutage(false)
  assert.is(refused.code, 1, refused.out)
  assert.match(refused.err, 'Nothing was applied.')
})

test('status, addresses and timeline of the nodes', async context => {
  await eventually(async () => /^e1 +n[12] +\S+ +live/m.test((await command(context, 'status')).out))
  const owner = /^e1 +n([12])/m.exec((await command(context, 'status')).out)?.[1]
  const addresses = await command(context, 'addresses', '--model', 'base:poem@1')
  assert.match(addresses.out, `${context.nodes[Number(owner) - 1]!.address}  a\nkeep for`)
  const timeline = await command(context, 'timeline', '--engine', 'e1')
  assert.is(timeline.code, 0, timeline.err)
  assert.match(timeline.out, / n[12] .*engine=e1/)
})

test.run()
