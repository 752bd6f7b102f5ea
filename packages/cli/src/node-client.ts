/** HTTP client of the commands for nodes. */
import { createHttpClient, parseJson, type HttpFailure } from '@yuccawharf/clients'
import { validateProblem, type Problem, type Validator } from '@yuccawharf/schema'

/** `not-run` proves that nothing was applied. After `unknown` the request may have been applied, or may still be. */
export type NodeReply<Body> =
  | { type: 'ok', body: Body, node: string }
  | { type: 'invalid', message: string }
  | { type: 'not-run', message: string }
  | { type: 'unknown', message: string }

export type NodeClient = {
  get<Body> (path: string, validate: Validator): Promise<NodeReply<Body>>
  post<Body> (path: string, body: unknown, validate: Validator, timeoutMs: number): Promise<NodeReply<Body>>
}

export const defaultNode = '127.0.0.1:7400'

/** @returns the nodes of the flags, else of YUCCAWHARF_NODE (addresses separated by commas), else the local node */
export function selectNodes (flags: string[], environment: string | undefined = process.env.YUCCAWHARF_NODE): string[] {
  if (flags.length > 0) return flags
  const addresses = (environment ?? '').split(',').map(address => address.trim()).filter(address => address !== '')
  return addresses.length > 0 ? addresses : [defaultNode]
}

function problemText (problem: Problem): string {
  return problem.detail === undefined ? problem.title : `${problem.title}: ${problem.detail}`
}

function parseReply<Body> (node: string, status: number, bytes: Buffer, validate: Validator): NodeReply<Body> {
  const body = parseJson(bytes)
  if (status === 200 && validate(body)) return { type: 'ok', body: body as Body, node }
  if (status !== 200 && validateProblem(body)) {
    const problem = body as Problem
    return { type: problem.outcome, message: `${node}: ${problemText(problem)}` }
  }
  return { type: 'unknown', message: `${node} answered ${status} with a body of another form` }
}

function failureReply<Body> (node: string, failure: HttpFailure): NodeReply<Body> {
  return { type: failure.type === 'not-sent' ? 'not-run' : 'unknown', message: `${node} cannot be asked: ${failure.reason}` }
}

/** Tries the nodes in order. A POST request that may have reached one node is not sent to the next. */
export function createNodeClient (nodes: string[]): NodeClient {
  async function send<Body> (method: string, path: string, body: unknown, validate: Validator, timeoutMs: number): Promise<NodeReply<Body>> {
    let reply: NodeReply<Body> = { type: 'not-run', message: 'no node is given' }
    for (const node of nodes) {
      const http = createHttpClient({ baseUrl: `http://${node}`, timeoutMs })
      const headers: Record<string, string> = body === undefined ? {} : { 'content-type': 'application/json' }
      const result = await http.exchange({ method, path, headers, ...(body === undefined ? {} : { body: JSON.stringify(body) }) })
      await http.close()
      reply = result.type === 'ok' ? parseReply(node, result.response.status, result.response.body, validate) : failureReply(node, result)
      const tryNext = reply.type === 'not-run' || (reply.type === 'unknown' && method === 'GET')
      if (!tryNext) return reply
    }
    return reply
  }

  return {
    get: async (path, validate) => await send('GET', path, undefined, validate, 10_000),
    post: async (path, body, validate, timeoutMs) => await send('POST', path, body, validate, timeoutMs)
  }
}

/** @returns a finding for each invalid address */
export function addressFindings (nodes: string[]): string[] {
  return nodes.filter(node => !URL.canParse(`http://${node}`) || new URL(`http://${node}`).host === '' || /[/?#@]/.test(node)).map(node => `${node} is not an address such as ${defaultNode}`)
}
