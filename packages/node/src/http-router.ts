/** HTTP server of a node: routing, limits on header size and receive times, and isolation of failing requests. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { createBoundedServer, refuseUnreadable, requestLateCode, sharedReads } from '@yuccawharf/clients'
import { createProblem, sendProblem } from './problem'

export type RouteContext = {
  req: IncomingMessage
  res: ServerResponse
  url: URL
  /** Decoded path segments captured by the pattern's groups. */
  params: string[]
}

export type Route = {
  /** Upper-case method, or `*`. */
  method: string
  pattern: RegExp
  handle (ctx: RouteContext): void | Promise<void>
}

export type HttpLimits = {
  headerBytes: number
  /** Longest time for receiving the headers, in ms. */
  headersMs: number
  /** Longest time for receiving a whole request, in ms. */
  requestMs: number
  keepAliveMs: number
  /** See `ReadSharesConfig.overheadBytes`; the last server that states it decides for the process. */
  readOverheadBytes?: number
}

export const defaultHttpLimits: HttpLimits = { headerBytes: 16 * 1024, headersMs: 10_000, requestMs: 30_000, keepAliveMs: 65_000 }

/** @returns the decoded parts, or undefined if a percent escape is malformed */
function decodeParams (parts: (string | undefined)[]): string[] | undefined {
  try {
    return parts.map(part => decodeURIComponent(part ?? ''))
  } catch {
    return undefined
  }
}

function parseUrl (text: string): URL | undefined {
  try {
    return new URL(text, 'http://node')
  } catch {
    return undefined
  }
}

/** Creates a handler that dispatches requests to their routes. @param onError called with errors thrown by a route */
export function createRequestHandler (routes: Route[], onError: (err: unknown) => void): (req: IncomingMessage, res: ServerResponse) => void {
  function fail (res: ServerResponse, err: unknown): void {
    onError(err)
    sendProblem(res, createProblem(500, 'unknown', 'Internal error', 'the node could not handle the request'))
    if (!res.writableEnded) res.destroy()
  }

  async function run (route: Route, ctx: RouteContext): Promise<void> {
    try {
      await route.handle(ctx)
    } catch (err) {
      fail(ctx.res, err)
    }
  }

  return (req, res) => {
    req.on('error', () => {})
    res.on('error', () => {})
    const url = parseUrl(req.url ?? '/')
    if (url === undefined) return sendProblem(res, createProblem(400, 'invalid', 'Invalid request', 'the request target is malformed'))
    const matching = routes.filter(route => route.pattern.test(url.pathname))
    if (matching.length === 0) return sendProblem(res, createProblem(404, 'invalid', 'Not found', `there is no resource ${url.pathname}`))
    const route = matching.find(candidate => candidate.method === '*' || candidate.method === req.method)
    if (route === undefined) {
      res.setHeader('allow', matching.map(candidate => candidate.method).join(', '))
      return sendProblem(res, createProblem(405, 'invalid', 'Method not allowed', `${req.method ?? ''} is not possible for ${url.pathname}`))
    }
    const params = decodeParams((route.pattern.exec(url.pathname) ?? []).slice(1))
    if (params === undefined) return sendProblem(res, createProblem(400, 'invalid', 'Invalid request', 'an escape in the path is malformed'))
    run(route, { req, res, url, params }).catch(onError)
  }
}

const clientErrors: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  [requestLateCode]: '408 Request Timeout'
}

/** Sends a problem for input that isn't HTTP, or is too slow or too large, and closes the connection. */
function refuseConnection (err: NodeJS.ErrnoException, socket: Socket): void {
  const status = clientErrors[err.code ?? ''] ?? '400 Bad Request'
  const [code = '400', ...title] = status.split(' ')
  const body = JSON.stringify(createProblem(Number(code), code === '408' ? 'not-run' : 'invalid', title.join(' '), `the request could not be read: ${err.code ?? err.message}`))
  socket.end(`HTTP/1.1 ${status}\r\ncontent-type: application/problem+json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
}

/** Creates the server; the caller starts listening. */
export function createHttpServer (handler: (req: IncomingMessage, res: ServerResponse) => void, limits: HttpLimits): Server {
  const server = createBoundedServer((req, res) => {
    if (ending.has(req.socket)) req.resume()
    else handler(req, res)
  }, {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headersMs,
    requestTimeout: limits.requestMs,
    keepAliveTimeout: limits.keepAliveMs,
    // Interval at which the two receive timeouts are enforced: a slow sender is disconnected within a second of its limit.
    connectionsCheckingInterval: 1000,
    noDelay: true
  })
  if (limits.readOverheadBytes !== undefined) sharedReads.configure({ overheadBytes: limits.readOverheadBytes })
  const ending = refuseUnreadable(server, refuseConnection)
  return server
}
