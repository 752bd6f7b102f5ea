/** Builds `target/yuccawharf.cjs`, the bundle that deploy/system.toml runs on the users' platform. An argument names another folder than `target`. */
import { mkdirSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'
import { bundleOptions } from './bundle-options.mjs'

const root = fileURLToPath(new URL('..', import.meta.url))
const target = process.argv[2] ?? join(root, 'target')

mkdirSync(target, { recursive: true })
await build({
  ...bundleOptions,
  entryPoints: [join(root, 'platform/src/main.ts')],
  outfile: join(target, 'yuccawharf.cjs'),
  // Names are kept as written. The option that restores names after minification costs a call for each closure.
  minifyWhitespace: true,
  minifySyntax: true
})
