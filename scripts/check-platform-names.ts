/**
 * Checks that only `platform/` depends on the users' platform: no package imports it or uses the
 * platform's names of headers, fields and calls.
 */
import { readdirSync, readFileSync } from 'node:fs'
import { join, relative } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('..', import.meta.url))

/** Names that are specific to the platform; names that are also common terms are left out. */
const platformNames = [
  'Request-Id', 'Response-Seal', 'Not-Executed', 'Expect-Instance', 'Expect-Version', 'Token-Usage', 'Prompt-Prefix', 'Deadline-Ms', 'Request-Priority', 'Weight-Versions',
  'Pin-Ms', 'Kv-Backup', 'Kv-From', 'Kv-Fetch', 'Length-Hint', 'path_prefix', 'route_kind', 'non_idempotent', 'goal_ms', 'gap_aim_ms', 'timeout_ms', 'max_conns',
  'kv_capacity', 'adapter_slots', 'adapter_size_mb', 'weights_mb', 'loads_per_s', 'fencing_token', 'precondition', 'cold_left_ms', 'heartbeat_ms', 'port_range',
  'Server-Limit', 'Server-Leaving', 'Store-Era', 'node_name', 'lease_ms', 'drain_ms', 'ttl_s', 'log-append', 'log-read', 'log-newest', 'keyed\\.', '/-/', 'YUCCAWHARF_BOOT'
]
const pattern = new RegExp(`(?<![\\w-])(${platformNames.join('|')})(?![\\w-])|(?<=['"\`])/-/`, 'i')
const importPattern = /from '(@yuccawharf\/platform|(\.\.\/)+platform)[/']/

function sources (folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return entry.name === 'node_modules' ? [] : sources(path)
    return entry.name.endsWith('.ts') ? [path] : []
  })
}

/** @returns the findings of one file as `path:line: reason` */
function findings (path: string): string[] {
  return readFileSync(path, 'utf8').split('\n').flatMap((line, index) => {
    const name = pattern.exec(line)?.[0]
    const reasons = [
      ...(name === undefined ? [] : [`uses the platform's name ${name}`]),
      ...(importPattern.test(line) ? ['imports the platform'] : [])
    ]
    return reasons.map(reason => `${relative(root, path)}:${index + 1}: ${reason}`)
  })
}

const found = sources(join(root, 'packages')).flatMap(findings)
for (const finding of found) console.error(finding)
if (found.length > 0) process.exitCode = 1
