/** Starts the project's nodes with the command of the deploy file, each at a loopback address of its own. */
import { spawn } from 'node:child_process'
import { createSocket } from 'node:dgram'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

export const root = fileURLToPath(new URL('../..', import.meta.url))

/** The bounds of the site `mazyoona-ops`. */
export const bounds = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_bound_ms: 5000,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 58,
  recovery_s: 12,
  pass_ms: 120,
  again_s: 0,
  fencing_enforced: false,
  lease_ms: 3000,
  thaw_ms: 300,
  ceiling_window_s: 5,
  ceiling_overshoot: 1.1,
  version_ms: 5000,
  ttl_max_s: 5
}
export const limits = { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0 }

function command () {
  const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, 'deploy/system.toml'), 'utf8'))
  return run[1].split(' ')
}

/** A prefix of loopback addresses that the processes of this run use alone. */
export function loopbackPrefix () {
  return `127.${10 + process.pid % 200}.${1 + Math.floor(Math.random() * 250)}`
}

/** @returns the first of `count` successive ports that are free for TCP and UDP at the address */
async function freePorts (host, count) {
  for (let first = 20_000 + Math.floor(Math.random() * 10_000); ; first += count) {
    const opened = []
    try {
      for (let port = first; port < first + count; port++) {
        const tcp = createServer()
        opened.push(tcp)
        await new Promise((resolve, reject) => tcp.once('error', reject).listen(port, host, resolve))
        const udp = createSocket('udp4')
        opened.push(udp)
        await new Promise((resolve, reject) => udp.once('error', reject).bind(port, host, resolve))
      }
      return first
    } catch {
      // Another process uses one of them.
    } finally {
      for (const server of opened) try { server.close() } catch { /* It was not opened. */ }
    }
  }
}

function toml (table) {
  return Object.entries(table).map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`).join('')
}

/** @param storeAddress - returns the address at which a machine calls the store */
export async function createFleet ({ prefix, storeAddress, record }) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'))
  const first = await freePorts(`${prefix}.1`, 24)
  const nodes = new Map()
  const children = new Set()
  const controlOf = ip => `${ip}:${first + 20}`

  function start (node) {
    const [program, ...args] = command()
    const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, YUCCAWHARF_BOOT: node.file }, stdio: ['ignore', 'pipe', 'inherit'] })
    children.add(child)
    child.stdout.on('data', chunk => { node.log.push(chunk.toString()) })
    child.on('exit', (code, signal) => {
      children.delete(child)
      record('node-ended', { node: node.name, code, signal })
    })
    node.child = child
    record('node-started', { node: node.name, pid: child.pid })
  }

  return {
    nodes,
    /** Adds a machine and starts its process. */
    async add (name, zone, seeds) {
      const ip = `${prefix}.${nodes.size + 1}`
      const node = { name, zone, ip, file: join(folder, `${name}.toml`), log: [], front: `${ip}:${first + 16}`, ready: `${ip}:${first + 17}`, directory: `${ip}:${first + 18}` }
      writeFileSync(node.file, [
        toml({ node_name: name, role: 'gateway', machine_class: 'edge', serves: ['edge', 'control_plane', 'registry'], ip, zone, region: 'region-a', port_range: [first, first + 15], seeds: seeds ?? [controlOf(ip)], bootstrap: seeds === undefined, fault_counted: false, discovery: 'platform', entry: 'registry', heartbeat_ms: 1200 }),
        `[listen]\n${toml({ front: node.front, ready: node.ready, control: controlOf(ip), directory: node.directory })}`,
        `[limits]\n${toml(limits)}`,
        '[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n',
        `[bounds]\n${toml(bounds)}`,
        `[platform]\n${toml({ address: await storeAddress(name), form: 'log', writes_per_s: 400, reads_per_s: 2000, parts: 16, append_ms: 3.0, part_mb_per_s: 20.0, read_mb_per_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000 })}`
      ].join(''))
      nodes.set(name, node)
      start(node)
      return node
    },
    controlOf: name => controlOf(nodes.get(name).ip),
    restart: name => start(nodes.get(name)),
    signal (name, signal) {
      const { child } = nodes.get(name)
      record('signal', { node: name, signal })
      if (children.has(child)) child.kill(signal)
    },
    /** Lines that a node has logged about an event. */
    logged: (name, event) => nodes.get(name).log.join('').split('\n').filter(line => line.includes(`"event":"${event}"`)),
    running: () => [...nodes.values()].filter(({ child }) => children.has(child)),
    stop () {
      for (const child of children) {
        child.kill('SIGCONT')
        child.kill('SIGKILL')
      }
      rmSync(folder, { recursive: true, force: true })
    }
  }
}
