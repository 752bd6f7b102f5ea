/**
 * Builds the single executable `dist/yuccawharf`: one CommonJS bundle, injected into a copy of the
 * running node binary as a single executable application.
 */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { inject } from 'postject'
import { bundleOptions } from './bundle-options.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const dist = join(root, 'dist')
const bundle = join(dist, 'yuccawharf.cjs')
const blob = join(dist, 'yuccawharf.blob')
const seaConfig = join(dist, 'sea-config.json')
const executable = join(dist, 'yuccawharf')
/** Sentinel in the node binary that shows whether a blob was injected. */
const fuse = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'

/** Files with test hooks; none may be part of the executable. */
const testFile = /(^|\/)testing\/|\.test(-helper)?\.ts$/

/** Reads of a test hook, for example `ctx.hooks.evictPinned === true`. */
const hookRead = /\b(?:ctx\.|cfg\.)?hooks\??\.\w+ (===|!==) true/g
const hookedSource = /packages[\\/](?:node[\\/]src[\\/]core|coordination[\\/]src)[\\/][^\\/]+\.ts$/

/** Replaces each read of a test hook by the value it has without hooks, so that no hook can be set in the executable. */
const withoutHooks = {
  name: 'without-hooks',
  setup (builder) {
    builder.onLoad({ filter: hookedSource }, ({ path }) => ({
      contents: readFileSync(path, 'utf8').replace(hookRead, (_read, operator) => operator === '===' ? 'false' : 'true'),
      loader: 'ts'
    }))
  }
}

async function createBundle () {
  const { metafile } = await build({
    entryPoints: [join(root, 'packages/cli/src/main.ts')],
    outfile: bundle,
    metafile: true,
    plugins: [withoutHooks],
    ...bundleOptions
  })
  const remaining = readFileSync(bundle, 'utf8').match(/hooks\??\.(skip|send|evict|accept|ignore|dispatch)\w+/g)
  if (remaining !== null) throw new Error(`the bundle contains test hooks: ${remaining.join(', ')}`)
  const testFiles = Object.keys(metafile.inputs).filter(input => testFile.test(input))
  if (testFiles.length > 0) throw new Error(`the bundle contains test files: ${testFiles.join(', ')}`)
}

function createBlob () {
  writeFileSync(seaConfig, JSON.stringify({ main: bundle, output: blob, disableExperimentalSEAWarning: true, useCodeCache: false }))
  execFileSync(process.execPath, ['--experimental-sea-config', seaConfig], { stdio: ['ignore', 'ignore', 'inherit'] })
}

async function createExecutable () {
  // A running executable cannot be overwritten, but its name can be removed.
  rmSync(executable, { force: true })
  copyFileSync(process.execPath, executable)
  chmodSync(executable, 0o755)
  await inject(executable, 'NODE_SEA_BLOB', readFileSync(blob), { sentinelFuse: fuse })
}

mkdirSync(dist, { recursive: true })
await createBundle()
createBlob()
await createExecutable()
const megabytes = (file) => (statSync(file).size / 1e6).toFixed(1)
console.log(`dist/yuccawharf: ${megabytes(executable)} MB, of which the bundle ${megabytes(bundle)} MB`)
