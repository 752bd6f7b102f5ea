/** Finds the subcommand, parses its flags and runs it. */
import meow, { type AnyFlags } from 'meow'
import { exitCode, listFlag, type Command, type ExitCode, type FlagValues, type Terminal } from './command'
import { commands } from './commands'
import { addressFindings } from './node-client'
import { version } from './version'

const commonFlags = { help: { type: 'boolean', shortFlag: 'h' } } satisfies AnyFlags

function overview (): string {
  const width = Math.max(...commands.map(command => command.name.length))
  return [
    'yuccawharf serves requests to many LoRA adapters on shared engines.',
    '',
    'Usage',
    '  yuccawharf COMMAND [ARGUMENTS]',
    '',
    'Commands',
    ...commands.map(command => `  ${command.name.padEnd(width)}  ${command.summary}`),
    '',
    'Exit codes',
    '  0 done, 1 findings or refused, 2 usage error, 3 result unknown, 4 applied but not yet in force everywhere',
    '',
    '`yuccawharf COMMAND --help` explains one command, `yuccawharf --version` prints the version.'
  ].join('\n')
}

function helpText (command: Command): string {
  const usage = ['yuccawharf', command.name, command.usage].filter(part => part !== '').join(' ')
  return `${command.summary}\n\nUsage\n  ${usage}\n\n${command.help.trim()}`
}

function findCommand (args: string[]): { command: Command, rest: string[] } | undefined {
  for (const length of [2, 1]) {
    const name = args.slice(0, length).join(' ')
    const command = commands.find(candidate => candidate.name === name)
    if (command !== undefined) return { command, rest: args.slice(length) }
  }
  return undefined
}

function kebab (name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
}

/** Finds flags without a value, which meow omits from its result. */
function missingValues (command: Command, args: string[], raw: Record<string, unknown>): string[] {
  const separator = args.indexOf('--')
  const flagArgs = separator < 0 ? args : args.slice(0, separator)
  return Object.entries(command.flags).flatMap(([name, flag]) => {
    if (flag?.type === 'boolean') return []
    const option = `--${kebab(name)}`
    const givenCount = flagArgs.filter(arg => arg === option || arg.startsWith(`${option}=`)).length
    const values = [raw[name] ?? []].flat()
    return givenCount > values.length || values.includes('') ? [`${option} needs a value`] : []
  })
}

function flagFindings (command: Command, flags: FlagValues, args: string[], raw: Record<string, unknown>): string[] {
  const defined = { ...commonFlags, ...command.flags }
  const unknown = Object.keys(raw).filter(name => !Object.hasOwn(defined, name)).map(name => `--${kebab(name)} is not a flag of ${command.name}`)
  const missing = missingValues(command, args, raw)
  const invalid = Object.entries(command.flags).flatMap(([name, flag]) => {
    const option = `--${kebab(name)}`
    const value = flags[name]
    if (missing.includes(`${option} needs a value`)) return []
    if (value === undefined) return flag?.isRequired === true ? [`${option} is required`] : []
    if (Array.isArray(value) && flag?.isMultiple !== true) return [`${option} can be given once`]
    return flag?.type === 'number' && !Number.isSafeInteger(value) ? [`${option} must be a whole number`] : []
  })
  return [...unknown, ...missing, ...invalid]
}

function argumentFindings (command: Command, count: number): string[] {
  const [min, max] = command.argumentRange
  if (count < min) return [`${command.name} needs ${command.usage}`]
  return count > max ? [`${command.name} takes at most ${max} arguments, not ${count}`] : []
}

/** Accepts decimal integers only; Number() would convert an empty text to 0. */
function parseInteger (text: string): number {
  return /^-?[0-9]{1,16}$/.test(text) ? Number(text) : NaN
}

function flagValue (flag: AnyFlags[string] | undefined, raw: unknown): FlagValues[string] {
  if (!Array.isArray(raw)) return raw as FlagValues[string]
  const texts = raw as string[]
  if (flag?.isMultiple === true || texts.length > 1) return texts
  const [text] = texts
  return text !== undefined && flag?.type === 'number' ? parseInteger(text) : text
}

type Parsed = { input: string[], flags: FlagValues, raw: Record<string, unknown> }

/** @throws {Error} when a flag without a value is given twice */
function parseFlags (command: Command, args: string[]): Parsed {
  // Flags with a value are parsed as lists of strings, so that all errors can be reported together.
  const lenient = Object.entries(command.flags).map(([name, flag]) => [name, flag?.type === 'boolean' ? { type: 'boolean' } : { type: 'string', isMultiple: true }])
  const { input, flags } = meow(helpText(command), {
    // In the single executable, import.meta has only a URL.
    importMeta: { url: import.meta.url } as ImportMeta,
    argv: args,
    pkg: { name: 'yuccawharf', version },
    description: false,
    autoHelp: false,
    autoVersion: false,
    flags: { ...Object.fromEntries(lenient), ...commonFlags } as AnyFlags
  })
  const raw = flags as Record<string, unknown>
  const values = Object.entries(raw).map(([name, value]) => [name, flagValue(command.flags[name], value)])
  return { input: input.map(String), flags: Object.fromEntries(values) as FlagValues, raw }
}

function usageError (terminal: Terminal, findings: string[], hint: string): ExitCode {
  for (const finding of findings) terminal.err(`yuccawharf: ${finding}`)
  terminal.err(hint)
  return exitCode.usage
}

/**
 * Runs the command line.
 * @param args - arguments after the program's name
 * @returns the exit code
 */
export async function run (args: string[], terminal: Terminal): Promise<ExitCode> {
  const [first] = args
  if (first === '--version') {
    terminal.out(version)
    return exitCode.done
  }
  if (first === '--help' || first === '-h' || first === 'help') {
    terminal.out(overview())
    return exitCode.done
  }
  const found = findCommand(args)
  if (found === undefined) {
    const problem = first === undefined ? 'a command is needed' : `${args.slice(0, first === 'config' ? 2 : 1).join(' ')} is not a command`
    return usageError(terminal, [problem], 'See yuccawharf --help.')
  }
  const { command, rest } = found
  const hint = `See yuccawharf ${command.name} --help.`
  let parsed: Parsed
  try {
    parsed = parseFlags(command, rest)
  } catch (err) {
    return usageError(terminal, [(err as Error).message], hint)
  }
  const { input, flags, raw } = parsed
  if (flags.help === true) {
    terminal.out(helpText(command))
    return exitCode.done
  }
  const findings = [...flagFindings(command, flags, rest, raw), ...argumentFindings(command, input.length), ...addressFindings(listFlag(flags, 'node'))]
  if (findings.length > 0) return usageError(terminal, findings, hint)
  return await command.run({ input, flags, terminal })
}
