/** Options for bundles that run on Node.js without installed packages. */
export const bundleOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  legalComments: 'none',
  // Bundled packages use import.meta.url for createRequire and their own path; a CommonJS bundle does not have it.
  define: { 'import.meta.url': 'yuccawharfUrl' },
  banner: { js: "const yuccawharfUrl = require('node:url').pathToFileURL(process.execPath).href;" },
  // Optional native dependency of hot-shots for Unix sockets; metrics are sent over UDP.
  external: ['unix-dgram'],
  // The UMD build of ts-results gets require as a parameter, which a bundler cannot resolve.
  alias: { 'ts-results': 'ts-results/esm' },
  logLevel: 'warning'
}

/** Options for the program that runs on the users' platform. */
export const platformBundleOptions = {
  ...bundleOptions,
  // Names are kept as written. The option that restores names after minification costs a call for each closure.
  minifyWhitespace: true,
  // For the message of a failed assertion, Node.js parses the line of the call up to its place: seconds, if all is one line.
  lineLimit: 200
}
