/**
 * Builds `target/yuccawharf.cjs`, which deploy/system.toml runs on the users' platform, and `target/yuccawharf-node.cjs`,
 * which it loads. Usage: build-platform.mjs [FOLDER]
 */
import { mkdirSync } from 'node:fs'
import { join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { bundleOptions } from './bundle-options.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const target = resolve(process.argv[2] ?? join(root, 'target'))
const nodeBundle = 'yuccawharf-node.cjs'

/** Keeps the program out of the entry point, so that this one is loaded at once. */
const separateNode = {
  name: 'separate-node',
  setup (builder) {
    builder.onResolve({ filter: /^\.\/node-process$/ }, () => ({ path: `./${nodeBundle}`, external: true }))
  }
}

const options = {
  ...bundleOptions,
  // Names are kept as written. The option that restores names after minification costs a call for each closure.
  minifyWhitespace: true,
  minifySyntax: true
}

mkdirSync(target, { recursive: true })
await Promise.all([
  build({ ...options, entryPoints: [join(root, 'platform/src/node-process.ts')], outfile: join(target, nodeBundle) }),
  build({
    ...options,
    entryPoints: [join(root, 'platform/src/main.ts')],
    outfile: join(target, 'yuccawharf.cjs'),
    plugins: [separateNode],
    banner: {},
    // A call of require is faster than the loader of modules.
    supported: { 'dynamic-import': false }
  })
])
