/** Answers `POST /explain` with the explanation of a request that is described as JSON. */
import type { RequestListener, ServerResponse } from 'node:http'
import { createByteCollector, type ByteCollector } from '@yuccawharf/clients'
import type { DecisionLog } from './decision-log'
import { explainRequest, type ExplainEnv } from './explain'
import { fieldsCheck, isText, optional } from './field-checks'

export const explainPath = '/explain'

/** Largest description of a request, in bytes; headers may have 16 KiB and a body is rarely needed to explain a choice. */
const maxQuestionBytes = 256 * 1024

/** `headers` are names and values in turn. */
type Question = { host: string, path: string, method?: string, headers?: string[], body?: string }

const isHeaders = (value: unknown): value is string[] => Array.isArray(value) && value.length % 2 === 0 && value.every(item => typeof item === 'string')
const fields = { host: isText, path: isText, method: optional(isText), headers: optional(isHeaders), body: optional(isText) }
const isQuestion = fieldsCheck<Question>(fields)

/** @returns what is wrong, by field names only: a value may be a key */
function findingsOf (value: unknown): string[] {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return ['the request must be a JSON object']
  const record = value as Record<string, unknown>
  const wrong = Object.entries(fields).filter(([name, check]) => !check(record[name])).map(([name]) => name === 'headers' ? 'headers must be a list of names and values in turn' : `${name} must be a text`)
  return [...wrong, ...typeof record['path'] === 'string' && !record['path'].startsWith('/') ? ['path must begin with /'] : []]
}

function respond (res: ServerResponse, status: number, body: object): void {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...(status === 413 ? { connection: 'close' } : {}) }).end(text)
}

function parse (bytes: Buffer): unknown {
  try {
    return JSON.parse(bytes.toString())
  } catch {
    // The parser's message quotes the text, which may hold a key.
    return undefined
  }
}

export function createExplainResource (env: ExplainEnv, log: DecisionLog): RequestListener {
  return (req, res) => {
    if (req.method !== 'POST') return respond(res, 405, { errors: ['send the request to explain with POST'] })
    let question: ByteCollector | undefined = createByteCollector({ limitBytes: maxQuestionBytes })
    req.on('error', () => {})
    req.on('data', (chunk: Buffer) => {
      if (question === undefined) return
      if (question.size + chunk.length <= maxQuestionBytes) return question.append(chunk)
      question = undefined
      respond(res, 413, { errors: [`the description exceeds ${maxQuestionBytes} bytes`] })
    })
    req.on('end', () => {
      if (question === undefined) return
      const value = parse(question.bytes())
      const errors = value === undefined ? ['the description is not JSON'] : findingsOf(value)
      if (errors.length > 0 || !isQuestion(value)) return respond(res, 400, { errors })
      const { host, path, method = 'GET', headers = [], body = '' } = value
      try {
        respond(res, 200, explainRequest({ method, host, url: path, headers, body: Buffer.from(body) }, env))
      } catch (err) {
        log.error('explain-failed', { reason: (err as Error).name })
        respond(res, 500, { errors: ['the request could not be explained'] })
      }
    })
  }
}
