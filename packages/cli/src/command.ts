/** Definition of a subcommand, its exit codes and its output. */
import type { AnyFlags } from 'meow'

/** Exit codes of the command; scripts rely on them. */
export const exitCode = {
  done: 0,
  /** Findings, a conflict or a refusal: nothing was applied or run. */
  refused: 1,
  /** Invalid flags or arguments. */
  usage: 2,
  /** The response was lost or is incomplete, so the result is unknown. */
  unknown: 3,
  /** Applied, but not in force on every live node when the wait ended. */
  behind: 4
} as const

export type ExitCode = typeof exitCode[keyof typeof exitCode]

/** Output of the process. */
export type Terminal = {
  /** Writes a result line to the standard output. */
  out (line: string): void
  /** Writes a message for the user to the standard error output. */
  err (line: string): void
}

export type FlagValues = Record<string, string | number | boolean | string[] | undefined>

export type CommandContext = { input: string[], flags: FlagValues, terminal: Terminal }

export type Command = {
  /** Name as typed, for example `config apply`. */
  name: string
  summary: string
  /** Arguments after the name, for the usage line. */
  usage: string
  /** Help text below the usage line. */
  help: string
  flags: AnyFlags
  /** Minimum and maximum number of arguments. */
  argumentRange: [number, number]
  run (context: CommandContext): Promise<ExitCode>
}

export function printJson (terminal: Terminal, value: unknown): void {
  terminal.out(JSON.stringify(value, null, 2))
}

/** @returns the values of a flag that may be given several times */
export function listFlag (flags: FlagValues, name: string): string[] {
  const value = flags[name]
  return Array.isArray(value) ? value : []
}

/** @returns the value of a text flag, or undefined when it is absent or empty */
export function textFlag (flags: FlagValues, name: string): string | undefined {
  const value = flags[name]
  return typeof value === 'string' && value !== '' ? value : undefined
}
