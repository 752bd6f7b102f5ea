/** Workload files of the policy benchmark: TOML, validated completely before a run. */
import Ajv from 'ajv'
import { parse } from 'smol-toml'
import type { ClassConfig } from '@yuccawharf/schema'

export type WorkClass = ClassConfig & {
  name: string
  /** Fraction of the arrivals. */
  share: number
  promptTokens: number
  outputTokens: number
  /** Time from arrival to the request's deadline. */
  deadlineSeconds: number
}

export type Fault = {
  type: 'engine-restart' | 'load-fails' | 'load-lost' | 'load-hangs' | 'store-slow' | 'node-loss'
  atSeconds: number
  forSeconds?: number
  /** Index of the server or node. */
  index?: number
  /** Fraction of the loads that are affected, or slowdown factor of the store. */
  value?: number
}

export type Workload = {
  name: string
  description: string
  seconds: number
  /** Requests that arrive earlier are run but not included in the results. */
  warmupSeconds: number
  arrivalsPerSecond: number
  servers: { count: number, slots: number, batchSize: number, prefillTokensPerSecond: number, tokenMs: number, tokenMsPerRequest: number, prefixes: number, reportLagMs: number }
  nodes: { count: number, oneWayMs: number, queuedPerEngine: number, queuedPerAdapter: number }
  adapters: { count: number, skew: number }
  store: { loadMs: number, loadsPerSecond: number, inFlight: number }
  class: WorkClass[]
  /** The arrival rate rises to `factor` times its base over `rampSeconds`, stays for `forSeconds` and falls over `rampSeconds`. */
  surge: { atSeconds: number, rampSeconds: number, forSeconds: number, factor: number }[]
  /** `adapters` rare adapters receive `share` of the arrivals. */
  activation: { atSeconds: number, forSeconds: number, adapters: number, share: number }[]
  /** From `atSeconds` on, the popularity ranking is rotated by `ranks`. */
  shift: { atSeconds: number, ranks: number }[]
  /** From `atSeconds` on, requests for the adapter of the given rank name its next version. */
  version: { atSeconds: number, rank: number }[]
  fault: Fault[]
}

type Schema = Record<string, unknown>

const positive: Schema = { type: 'number', exclusiveMinimum: 0 }
const nonNegative: Schema = { type: 'number', minimum: 0 }
const count: Schema = { type: 'integer', minimum: 1 }
const text: Schema = { type: 'string', minLength: 1 }
const fraction: Schema = { type: 'number', minimum: 0, maximum: 1 }

const table = (properties: Record<string, Schema>, optional: string[] = []): Schema => ({
  type: 'object',
  additionalProperties: false,
  required: Object.keys(properties).filter((name) => !optional.includes(name)),
  properties
})

const list = (items: Schema): Schema => ({ type: 'array', items })

const schema = table({
  name: text,
  description: text,
  seconds: positive,
  warmupSeconds: nonNegative,
  arrivalsPerSecond: positive,
  servers: table({ count, slots: count, batchSize: count, prefillTokensPerSecond: positive, tokenMs: positive, tokenMsPerRequest: nonNegative, prefixes: { type: 'integer', minimum: 0 }, reportLagMs: nonNegative }),
  nodes: table({ count, oneWayMs: nonNegative, queuedPerEngine: count, queuedPerAdapter: count }),
  adapters: table({ count, skew: nonNegative }),
  store: table({ loadMs: positive, loadsPerSecond: positive, inFlight: count }),
  class: { ...list(table({ name: text, share: fraction, promptTokens: count, outputTokens: count, deadlineSeconds: positive, firstTokenMs: count, perTokenMs: count, finishWithinMs: count, attainment: { ...fraction, exclusiveMinimum: 0 } }, ['firstTokenMs', 'perTokenMs', 'finishWithinMs'])), minItems: 1 },
  surge: list(table({ atSeconds: nonNegative, rampSeconds: positive, forSeconds: positive, factor: positive })),
  activation: list(table({ atSeconds: nonNegative, forSeconds: positive, adapters: count, share: fraction })),
  shift: list(table({ atSeconds: nonNegative, ranks: count })),
  version: list(table({ atSeconds: nonNegative, rank: { type: 'integer', minimum: 0 } })),
  fault: list(table({
    type: { enum: ['engine-restart', 'load-fails', 'load-lost', 'load-hangs', 'store-slow', 'node-loss'] },
    atSeconds: nonNegative,
    forSeconds: positive,
    index: { type: 'integer', minimum: 0 },
    value: positive
  }, ['forSeconds', 'index', 'value']))
}, ['surge', 'activation', 'shift', 'version', 'fault'])

const validate = new Ajv({ allErrors: true, allowUnionTypes: true }).compile<Workload>(schema)

const describeError = ({ instancePath, message, params }: { instancePath: string, message?: string, params: Record<string, unknown> }): string => {
  const path = instancePath.slice(1).replaceAll('/', '.') || 'top level'
  const detail = params.additionalProperty ?? params.allowedValues
  return `${path}: ${message ?? 'is invalid'}${detail === undefined ? '' : ` (${String(detail)})`}`
}

/** Checks that span several fields. */
const inconsistencies = (workload: Workload): string[] => {
  const findings: string[] = []
  const share = workload.class.reduce((sum, { share }) => sum + share, 0)
  if (Math.abs(share - 1) > 1e-6) {
    findings.push(`class: the shares add up to ${share}, not 1`)
  }
  workload.class.forEach((cfg, index) => {
    if (cfg.firstTokenMs === undefined && cfg.finishWithinMs === undefined) {
      findings.push(`class.${index}: needs firstTokenMs or finishWithinMs`)
    }
  })
  workload.fault.forEach(({ type, index = 0 }, position) => {
    const limit = type === 'node-loss' ? workload.nodes.count : workload.servers.count
    if (index >= limit) {
      findings.push(`fault.${position}.index: ${index} is not below ${limit}`)
    }
  })
  workload.activation.forEach(({ adapters }, index) => {
    if (adapters > workload.adapters.count / 2) {
      findings.push(`activation.${index}.adapters: at most half of all adapters can be rare`)
    }
  })
  return findings
}

/** Reports all findings of one file. */
export class WorkloadError extends Error {
  constructor (readonly file: string, readonly findings: string[]) {
    super(`${file} has ${findings.length} invalid field(s):\n${findings.map((finding) => `  ${finding}`).join('\n')}`)
    this.name = 'WorkloadError'
  }
}

/**
 * @param file name for messages
 * @throws {WorkloadError} with all findings
 */
export const parseWorkload = (source: string, file: string): Workload => {
  let value: unknown
  try {
    value = parse(source)
  } catch (err) {
    throw new WorkloadError(file, [String((err as Error).message)])
  }
  if (!validate(value)) {
    throw new WorkloadError(file, (validate.errors ?? []).map(describeError))
  }
  const workload = { ...value, surge: value.surge ?? [], activation: value.activation ?? [], shift: value.shift ?? [], version: value.version ?? [], fault: value.fault ?? [] }
  const findings = inconsistencies(workload)
  if (findings.length > 0) {
    throw new WorkloadError(file, findings)
  }
  return workload
}

/** @returns the settings of the classes, without the fields that describe the workload */
export const classConfigs = (workload: Workload): Record<string, ClassConfig> =>
  Object.fromEntries(workload.class.map(({ name, firstTokenMs, perTokenMs, finishWithinMs, attainment }) => [name, {
    ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
    ...(perTokenMs === undefined ? {} : { perTokenMs }),
    ...(finishWithinMs === undefined ? {} : { finishWithinMs }),
    attainment
  }]))
