/** Options for bundles that run on Node.js without installed packages. */
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  // Bundled packages call createRequire and read their own place, which a CommonJS bundle lacks.
  define: { 'import.meta.url': 'yuccawharfUrl' },
  banner: { js: "const yuccawharfUrl = require('node:url').pathToFileURL(process.execPath).href;" },
  // Optional native part of hot-shots for Unix sockets; metrics go over UDP.
  external: ['unix-dgram'],
  // The UMD form of ts-results requires its parts through a parameter, which a bundler cannot follow.
  alias: { 'ts-results': 'ts-results/esm' },
  logLevel: 'warning'
}
