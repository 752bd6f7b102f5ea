/** Nodes of the system as processes of their own, run as deploy/system.toml says, with the settings of a small deployment. */
import { spawn } from 'node:child_process'
import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'
import { freePorts, loopback } from './ports.mjs'
import { get } from './client.mjs'

const root = fileURLToPath(new URL('../..', import.meta.url))
const readyMs = 15_000

/** Bounds of mazyoona-ops. */
const bounds = { seed_lag_s: 3, reuse_after_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, outer_bound_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58, recovery_s: 12, pass_ms: 120, again_s: 0, fencing_enforced: false, lease_ms: 3000, thaw_ms: 300, ceiling_window_s: 5, ceiling_overshoot: 1.1, version_ms: 5000, ttl_max_s: 5 }
const limits = { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100, link_mbps: 1000, disk_mb: 0 }

function toml (table) {
  return Object.entries(table).map(([key, value]) => `${key} = ${JSON.stringify(value)}\n`).join('')
}

/** @returns program and arguments of the role in the deploy file */
function runCommand () {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  return /^run = "([^"]*)"$/m.exec(text)[1].split(' ')
}

function settingsOf ({ name, zone, zones, ports, seeds, storeAddress }) {
  const { front, ready, control, directory, peer } = ports
  return [
    toml({ node_name: name, role: 'gateway', machine_class: 'edge', serves: ['edge', 'control_plane', 'registry'], ip: loopback, zone, region: 'r', port_range: [peer, peer], seeds, bootstrap: true, fault_counted: false, discovery: 'platform', entry: 'registry', heartbeat_ms: 1200, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'fleet', 'stream', 'engine', 'platform'] }),
    `[zones]\n${toml(Object.fromEntries(zones.map(item => [item, 'r'])))}`,
    `[listen]\n${toml({ front: `${loopback}:${front}`, ready: `${loopback}:${ready}`, control: `${loopback}:${control}`, directory: `${loopback}:${directory}` })}`,
    `[limits]\n${toml(limits)}`,
    `[fault_tolerance]\n${toml({ machines: 1, zones: 0, regions: 0 })}`,
    `[bounds]\n${toml(bounds)}`,
    `[platform]\n${toml({ address: storeAddress, form: 'log', writes_per_s: 400, reads_per_s: 2000, parts: 16, append_ms: 3, keep_s: 300, part_mb: 200, ttl_min_ms: 1000 })}`
  ].join('')
}

/**
 * @param zones - zone of each node
 * @param folder - temporary folder for the settings files
 * @param storeAddressOf - address of the store for a node, by its name
 * @param record - what becomes of the processes is written to it
 */
export async function startNodes ({ zones, folder, storeAddressOf, record }) {
  const ports = await freePorts(5 * zones.length)
  const nodes = zones.map((zone, index) => {
    const [front, ready, control, directory, peer] = ports.slice(5 * index, 5 * index + 5)
    return { name: `edge-${zone}-1`, zone, ports: { front, ready, control, directory, peer }, file: join(folder, `node-${index + 1}.toml`), lines: [] }
  })
  const seeds = nodes.slice(0, 3).map(({ ports: { control } }) => `${loopback}:${control}`)
  const [program, ...args] = runCommand()

  function start (node) {
    const child = spawn(program === 'node' ? process.execPath : program, args, { cwd: root, env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C.UTF-8', YUCCAWHARF_BOOT: node.file }, stdio: ['ignore', 'pipe', 'pipe'] })
    node.child = child
    record('node-started', { node: node.name, pid: child.pid })
    let rest = ''
    child.stdout.on('data', chunk => {
      const texts = (rest + String(chunk)).split('\n')
      rest = texts.pop()
      node.lines.push(...texts)
    })
    child.stderr.on('data', chunk => { node.lines.push(`stderr: ${chunk}`) })
    child.on('exit', (code, signal) => { record('node-ended', { node: node.name, code, signal }) })
  }

  for (const node of nodes) {
    writeFileSync(node.file, settingsOf({ ...node, zones: [...new Set(zones)], seeds, storeAddress: await storeAddressOf(node) }))
    start(node)
  }

  return {
    nodes,
    start,
    async untilReady (node, ms = readyMs) {
      for (const end = performance.now() + ms; performance.now() < end; await sleep(50)) {
        if (node.child.exitCode === null && await get(node.ports.ready, '/-/readyz') === 200) return true
      }
      return false
    },
    isRunning: ({ child }) => child.exitCode === null && child.signalCode === null,
    kill (node) {
      record('node-killed', { node: node.name })
      node.child.kill('SIGKILL')
    },
    signal (node, signal) {
      record('signal', { node: node.name, signal })
      node.child.kill(signal)
    },
    stop () {
      for (const { child } of nodes) child.kill('SIGKILL')
    }
  }
}
