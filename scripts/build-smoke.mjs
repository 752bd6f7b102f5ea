/** Runs the built executable in an empty directory, where it cannot load anything from the workspace. */
import assert from 'node:assert/strict'
import { spawn, spawnSync } from 'node:child_process'
import { copyFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const directory = mkdtempSync(join(tmpdir(), 'yuccawharf-smoke-'))
const executable = join(directory, 'yuccawharf')
const commandTimeoutMs = 30_000
const startTimeoutMs = 30_000
const drainTimeoutMs = 60_000

copyFileSync(fileURLToPath(new URL('../dist/yuccawharf', import.meta.url)), executable)

async function freePort () {
  const server = createServer()
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return port
}

function settings (port) {
  return `[node]
id = "n1"
zone = "a"
region = "r"
address = "127.0.0.1:${port}"

[platform]
log = "http://127.0.0.1:1"
instances = "http://127.0.0.1:1"
weightStore = "http://127.0.0.1:1"

[metrics]
host = "127.0.0.1"
`
}

function run (...args) {
  const { status, stdout, stderr, error } = spawnSync(executable, args, { cwd: directory, encoding: 'utf8', timeout: commandTimeoutMs })
  assert.equal(error, undefined)
  return { status, stdout, stderr }
}

function expect (result, status, pattern) {
  assert.equal(result.status, status, result.stderr + result.stdout)
  assert.match(result.stdout + result.stderr, pattern)
}

function checkCommands (port) {
  writeFileSync(join(directory, 'good.toml'), settings(port))
  writeFileSync(join(directory, 'bad.toml'), settings(70000).replace('id = "n1"', 'id = ""'))
  const { version } = JSON.parse(readFileSync(new URL('../packages/cli/package.json', import.meta.url), 'utf8'))
  expect(run('--version'), 0, new RegExp(`^${version.replaceAll('.', '\\.')}\n$`))
  expect(run('--help'), 0, /Commands\n {2}node /)
  expect(run('config', 'apply', '--help'), 0, /--base REVISION/)
  expect(run('check', '--nope'), 2, /--nope is not a flag/)
  expect(run('check', 'good.toml'), 0, /findings: 0/)
  expect(run('check', 'good.toml', 'bad.toml'), 1, /bad\.toml:2: node\.id .*\nbad\.toml:5: node\.address has port 70000/)
  expect(run('node', '--settings', 'bad.toml'), 1, /node\.address/)
}

async function waitForStatus (port) {
  const deadline = Date.now() + startTimeoutMs
  for (;;) {
    const result = run('status', '--node', `127.0.0.1:${port}`)
    if (result.status === 0) return result
    assert.ok(Date.now() < deadline, `the node did not respond: ${result.stderr}`)
    await new Promise(resolve => setTimeout(resolve, 100))
  }
}

async function checkNode (port) {
  const node = spawn(executable, ['node', '--settings', 'good.toml'], { cwd: directory, stdio: 'inherit' })
  const exited = new Promise(resolve => node.once('exit', (code, signal) => resolve(signal ?? code)))
  const timer = setTimeout(() => node.kill('SIGKILL'), startTimeoutMs + drainTimeoutMs)
  try {
    expect(await waitForStatus(port), 0, /node n1 in a \(r\) is starting/)
    expect(run('timeline', '--node', `127.0.0.1:${port}`), 0, /^/)
    node.kill('SIGTERM')
    assert.equal(await exited, 0, 'a graceful shutdown exits with 0')
  } finally {
    clearTimeout(timer)
    node.kill('SIGKILL')
  }
}

try {
  const port = await freePort()
  checkCommands(port)
  await checkNode(port)
  console.log('the executable works')
} finally {
  rmSync(directory, { recursive: true })
}
