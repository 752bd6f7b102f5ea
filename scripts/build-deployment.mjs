/**
 * Build command of deploy/system.toml: installs the packages if those that are there cannot be used,
 * and builds `target/`. An earlier build stays until the new one is whole, since processes may start
 * meanwhile. After a failure `target/` is absent, so that no earlier build is taken for the new one.
 */
import { spawnSync } from 'node:child_process'
import { mkdirSync, readdirSync, renameSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { findInstallFault } from './installed-packages.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const target = join(root, 'target')
const staging = join(target, 'staging')

function run (command, args) {
  const { status, signal, error } = spawnSync(command, args, { cwd: root, stdio: 'inherit' })
  if (status !== 0) throw new Error(`${[command, ...args].join(' ')}: ${error?.message ?? (signal === null ? `exit code ${status}` : `ended by ${signal}`)}`)
}

function install (reason) {
  console.error(`Installing packages, because ${reason}`)
  run('npm', ['ci', '--include=dev', '--include=optional', '--loglevel=error', '--no-audit', '--no-fund'])
  const fault = findInstallFault(root)
  if (fault !== undefined) throw new Error(`after the install: ${fault}`)
}

function bundle () {
  rmSync(staging, { recursive: true, force: true })
  mkdirSync(staging, { recursive: true })
  run(process.execPath, ['scripts/build-platform.mjs', staging])
}

function build () {
  const fault = findInstallFault(root)
  if (fault !== undefined) install(fault)
  try {
    bundle()
  } catch (err) {
    if (fault !== undefined) throw err
    install(`the build failed: ${err.message}`)
    bundle()
  }
  for (const name of readdirSync(staging)) renameSync(join(staging, name), join(target, name))
  rmSync(staging, { recursive: true })
}

try {
  build()
} catch (err) {
  rmSync(target, { recursive: true, force: true })
  console.error(`The build failed: ${err.message}`)
  process.exitCode = 1
}
