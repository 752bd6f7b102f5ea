import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

// Correctness rules; the layout rules are in eslint.format.config.mjs.
export default [
  ...neostandard({ ts: true, noStyle: true, ignores: [...resolveIgnoresFromGitignore(), 'packages/schema/src/generated/**', 'platform/src/generated/**', 'journal/**'] }),
  {
    rules: {
      'max-lines': ['error', { max: 450, skipBlankLines: true, skipComments: true }],
      'no-restricted-syntax': ['error', { selector: 'ExportDefaultDeclaration', message: 'Use named exports.' }]
    }
  },
  {
    files: ['**/*.mjs'],
    rules: { 'no-restricted-syntax': 'off' }
  }
]
