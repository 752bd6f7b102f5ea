/** Record of what a build was made from and of what it wrote, by which a later one knows whether there is anything to do. */
import { createHash } from 'node:crypto'
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

const recordName = 'build.json'
/** Files and folders of the repository that a build depends on; the lock file stands for the installed packages. */
const inputs = ['package.json', 'package-lock.json', 'tsconfig.json', 'packages', 'platform', 'scripts']

function digestOf (path) {
  return createHash('sha256').update(readFileSync(path)).digest('hex')
}

function listFiles (folder) {
  return readdirSync(folder, { withFileTypes: true })
    .filter(({ name }) => name !== 'node_modules')
    .flatMap(entry => entry.isDirectory() ? listFiles(join(folder, entry.name)) : entry.isFile() ? [join(folder, entry.name)] : [])
    .sort()
}

/**
 * @param {string} root - folder of the repository
 * @returns {string} digest of all that a build depends on
 */
export function digestInputs (root) {
  const hash = createHash('sha256')
  for (const input of inputs) {
    const path = join(root, input)
    if (!existsSync(path)) continue
    const files = input.includes('.') ? [path] : listFiles(path)
    for (const file of files) hash.update(`${file.slice(root.length)} ${digestOf(file)}\n`)
  }
  return hash.digest('hex')
}

/** @param {string} folder - folder of a complete build */
export function writeRecord (folder, inputsDigest) {
  const outputs = Object.fromEntries(readdirSync(folder).map(name => [name, digestOf(join(folder, name))]))
  writeFileSync(join(folder, recordName), JSON.stringify({ inputs: inputsDigest, outputs }))
}

/** @returns {{ inputs?: string, outputs: Record<string, string> }} the record of the build in the folder; one without outputs if there is none */
export function readRecord (folder) {
  const path = join(folder, recordName)
  if (!existsSync(path)) return { outputs: {} }
  try {
    const { inputs, outputs } = JSON.parse(readFileSync(path, 'utf8'))
    return { inputs, outputs: { ...outputs } }
  } catch (err) {
    console.error(`${path} cannot be used: ${err.message}`)
    return { outputs: {} }
  }
}

/** @returns {string | undefined} undefined if the file is absent; another build may remove it at any time */
function digestIfPresent (path) {
  try {
    return digestOf(path)
  } catch (err) {
    if (err.code === 'ENOENT') return undefined
    throw err
  }
}

/** @returns {boolean} whether the folder holds a complete build from these inputs; needs no lock, since each file is replaced at once */
export function isCurrent (folder, { inputs, outputs }, inputsDigest) {
  return inputs === inputsDigest && Object.entries(outputs).every(([name, digest]) => digestIfPresent(join(folder, name)) === digest)
}
