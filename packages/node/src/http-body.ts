/** Reads request bodies of bounded size. */
import type { IncomingMessage } from 'node:http'
import { createByteCollector, type ByteCollector } from '@yuccawharf/clients'
import { Err, Ok, type Result } from 'ts-results/result.js'
import { createProblem, type Problem } from './problem'

function tooLarge (maxBytes: number): Problem {
  return createProblem(413, 'invalid', 'Body too large', `the body is larger than ${maxBytes} bytes`)
}

/**
 * @param maxBytes largest body that is accepted
 * @returns the body, or the problem to send; the rest of a rejected body is discarded
 */
export function readBody (req: IncomingMessage, maxBytes: number): Promise<Result<Buffer, Problem>> {
  const declared = Number(req.headers['content-length'] ?? 0)
  if (declared > maxBytes) {
    req.resume()
    return Promise.resolve(Err(tooLarge(maxBytes)))
  }
  return new Promise(resolve => {
    let body: ByteCollector | undefined = createByteCollector({ limitBytes: maxBytes })
    req.on('data', (chunk: Buffer) => {
      if (body === undefined) return
      if (body.size + chunk.length <= maxBytes) return body.append(chunk)
      body = undefined
      resolve(Err(tooLarge(maxBytes)))
    })
    req.on('end', () => { if (body !== undefined) resolve(Ok(body.bytes())) })
    // Creates the `Err` only for incomplete requests: it captures a stack, which is too costly for every request.
    const failIfIncomplete = (): void => {
      if (!req.complete) resolve(Err(createProblem(400, 'invalid', 'Incomplete body', 'the connection ended inside the body')))
    }
    req.on('error', failIfIncomplete)
    req.on('close', failIfIncomplete)
  })
}

/** @returns the parsed JSON body, or the problem to send */
export async function readJson (req: IncomingMessage, maxBytes: number): Promise<Result<unknown, Problem>> {
  const body = await readBody(req, maxBytes)
  if (body.err) return body
  try {
    return Ok(JSON.parse(body.val.toString('utf8')))
  } catch (err) {
    return Err(createProblem(400, 'invalid', 'Malformed JSON', `the body is not valid JSON: ${(err as Error).message}`))
  }
}
