/**
 * Build command of deploy/system.toml: installs the packages if those that are there cannot be used,
 * and builds `target/`. An earlier build stays until the new one is whole, since processes may start
 * meanwhile. After a failure the program is absent, so that no earlier build is taken for the new one.
 * Builds that are started at the same time follow one another; one of the same sources has nothing to do, and writes nothing.
 */
import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, readdirSync, renameSync, rmSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { cannotWriteExitCode } from './build-exit-codes.mjs'
import { withBuildLock } from './build-lock.mjs'
import { digestInputs, isCurrent, readRecord, writeRecord } from './build-record.mjs'
import { findInstallFault } from './installed-packages.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const target = join(root, 'target')
const lock = join(target, 'build.lock')
const stagingPrefix = 'staging-'
const entryPoint = 'yuccawharf.cjs'

/** @param {AbortSignal} signal - ends the command */
async function run (command, args, signal) {
  const line = [command, ...args].join(' ')
  await new Promise((resolve, reject) => {
    const child = spawn(command, args, { cwd: root, stdio: 'inherit', signal })
    // A command that is ended may still write until it closes.
    child.on('error', err => { if (!signal.aborted) reject(new Error(`${line}: ${err.message}`)) })
    child.on('close', (code, endedBy) => {
      if (code === 0) resolve()
      else reject(Object.assign(new Error(`${line}: ${signal.aborted ? signal.reason.message : endedBy === null ? `exit code ${code}` : `ended by ${endedBy}`}`), { exitCode: code }))
    })
  })
}

async function installPackages (reason, signal) {
  console.error(`Installing packages, because ${reason}`)
  await run('npm', ['ci', '--include=dev', '--include=optional', '--loglevel=error', '--no-audit', '--no-fund'], signal)
  const fault = findInstallFault(root)
  if (fault !== undefined) throw new Error(`after the install: ${fault}`)
}

/** @returns the folder that holds the new build */
async function bundle (signal) {
  const staging = mkdtempSync(join(target, stagingPrefix))
  await run(process.execPath, ['scripts/build-platform.mjs', staging], signal)
  return staging
}

/** Removes what builds have left behind that were killed, and what this one leaves. */
function removeStaging () {
  for (const name of readdirSync(target).filter(name => name.startsWith(stagingPrefix))) rmSync(join(target, name), { recursive: true, force: true })
}

async function createBuild (signal) {
  const fault = findInstallFault(root)
  if (fault !== undefined) await installPackages(fault, signal)
  try {
    return await bundle(signal)
  } catch (err) {
    if (fault !== undefined || signal.aborted || err.exitCode === cannotWriteExitCode) throw err
    await installPackages(`the build failed: ${err.message}`, signal)
    return await bundle(signal)
  }
}

function programs () {
  return readdirSync(target).filter(name => name.endsWith('.cjs'))
}

/** Puts the new build in place: the entry point last, since processes may start at any time and load what it names. */
function install (staging, former) {
  const names = readdirSync(staging).filter(name => name !== entryPoint)
  for (const name of [...names, entryPoint]) renameSync(join(staging, name), join(target, name))
  const kept = new Set([...names, entryPoint, ...Object.keys(former.outputs)])
  for (const name of programs().filter(name => !kept.has(name))) rmSync(join(target, name))
}

async function build (signal) {
  const inputs = digestInputs(root)
  const former = readRecord(target)
  if (isCurrent(target, former, inputs)) return
  removeStaging()
  try {
    const staging = await createBuild(signal)
    writeRecord(staging, inputs)
    install(staging, former)
  } catch (err) {
    if (!signal.aborted) removePrograms()
    throw err
  } finally {
    if (!signal.aborted) removeStaging()
  }
}

function removePrograms () {
  for (const name of programs()) rmSync(join(target, name))
}

try {
  if (!isCurrent(target, readRecord(target), digestInputs(root))) {
    mkdirSync(target, { recursive: true })
    await withBuildLock(lock, build)
  }
} catch (err) {
  console.error(`The build failed: ${err.message}`)
  process.exitCode = 1
}
