/** Finds out whether the installed packages are those of the lock file and can run here. Needs no installed package. */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

/** npm writes this file at the end of an install. */
const installedLock = 'node_modules/.package-lock.json'
/** Time limit for a first run of the bundler, in ms. */
const bundlerTimeoutMs = 60_000

function readJson (path) {
  try {
    return JSON.parse(readFileSync(path, 'utf8'))
  } catch {
    return undefined
  }
}

/** @returns how the packages in the folder differ from the lock file, or undefined if they do not */
function findPackageFault (root, wanted) {
  const installed = readJson(join(root, installedLock))?.packages
  if (installed === undefined) return `no install was completed: ${installedLock} is missing or unreadable`
  for (const [path, { version, integrity, link, optional }] of Object.entries(wanted)) {
    if (!path.includes('node_modules/')) continue
    if (installed[path] === undefined) {
      // Packages for another system are not installed.
      if (optional) continue
      return `${path} is not installed`
    }
    if (installed[path].version !== version || installed[path].integrity !== integrity) return `${path} was installed from another lock file`
    const manifest = readJson(join(root, path, 'package.json'))
    if (manifest === undefined) return `${path} is missing or incomplete`
    if (link !== true && manifest.version !== version) return `${path} has version ${manifest.version} instead of ${version}`
  }
}

/** @returns why the bundler does not run on this system, or undefined if it does */
function findBundlerFault (root) {
  if (!existsSync(join(root, 'node_modules/esbuild/package.json'))) return 'esbuild is not installed'
  const { status, error, stderr } = spawnSync(process.execPath, ['-e', "require('esbuild').transformSync('1')"], { cwd: root, encoding: 'utf8', timeout: bundlerTimeoutMs })
  if (status === 0) return undefined
  const reason = error?.message ?? (stderr.split('\n').find(line => line.includes('Error')) ?? stderr).trim()
  return `esbuild does not run on ${process.platform} ${process.arch}: ${reason}`
}

/**
 * @param {string} root - folder of the repository
 * @returns {string | undefined} why the installed packages cannot be used, or undefined if they can
 * @throws if the lock file cannot be read
 */
export function findInstallFault (root) {
  const wanted = readJson(join(root, 'package-lock.json'))?.packages
  if (wanted === undefined) throw new Error('package-lock.json is missing or unreadable')
  return findPackageFault(root, wanted) ?? findBundlerFault(root)
}
