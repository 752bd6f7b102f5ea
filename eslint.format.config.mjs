import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

// Standard style's layout rules only: `npm run format` applies them with --fix.
const style = neostandard({ ts: true, ignores: [...resolveIgnoresFromGitignore(), 'packages/schema/src/generated/**', 'platform/src/generated/**', 'journal/**'] })

export default style.map(cfg => cfg.rules === undefined
  ? cfg
  : { ...cfg, rules: Object.fromEntries(Object.entries(cfg.rules).filter(([name]) => name.startsWith('@stylistic/'))) })
