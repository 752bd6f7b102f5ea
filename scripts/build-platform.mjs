/**
 * Builds `target/yuccawharf.cjs`, which deploy/system.toml runs on the users' platform, and the program that it loads,
 * `target/yuccawharf-node-DIGEST.cjs`. A process that starts while the build is replaced loads the program that belongs
 * to its entry point. Usage: build-platform.mjs [FOLDER]
 */
import { createHash } from 'node:crypto'
import { mkdirSync, writeFileSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { cannotWriteExitCode } from './build-exit-codes.mjs'
import { platformBundleOptions as options } from './bundle-options.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const target = resolve(process.argv[2] ?? join(root, 'target'))
const digestLength = 12

/** Keeps the program out of the entry point, so that this one is loaded at once. */
const separateNode = nodeBundle => ({
  name: 'separate-node',
  setup (builder) {
    builder.onResolve({ filter: /^\.\/node-process$/ }, () => ({ path: `./${nodeBundle}`, external: true }))
  }
})

const { outputFiles: [node] } = await build({ ...options, entryPoints: [join(root, 'platform/src/node-process.ts')], write: false })
const nodeBundle = `yuccawharf-node-${createHash('sha256').update(node.contents).digest('hex').slice(0, digestLength)}.cjs`
const { outputFiles: [entryPoint] } = await build({
  ...options,
  entryPoints: [join(root, 'platform/src/main.ts')],
  write: false,
  plugins: [separateNode(nodeBundle)],
  banner: {},
  // A call of require is faster than the loader of modules.
  supported: { 'dynamic-import': false }
})
try {
  mkdirSync(target, { recursive: true })
  writeFileSync(join(target, nodeBundle), node.contents)
  writeFileSync(join(target, 'yuccawharf.cjs'), entryPoint.contents)
} catch (err) {
  console.error(`${target} cannot be written: ${err.message}`)
  process.exitCode = cannotWriteExitCode
}
