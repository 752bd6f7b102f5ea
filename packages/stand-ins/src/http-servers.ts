/** HTTP servers on loopback that expose the models. */
import { createHash } from 'node:crypto'
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { gzipSync } from 'node:zlib'
import type { EngineCommand, EngineCommandResult } from '@yuccawharf/clients'
import type { EngineModel, StreamListener, StreamStart } from './engine-model'
import type { InstanceListModel } from './instance-list-model'
import type { LogModel } from './log-model'
import type { PlainServiceModel } from './plain-service-model'
import type { WeightStoreModel } from './weight-store-model'

export type StandInServer = { address: string, url: string, close: () => Promise<void> }

type Route = (req: IncomingMessage, res: ServerResponse, url: URL, body: Buffer) => void

const maxBodyBytes = 4 * 1024 * 1024
/** A reader that falls further behind is disconnected and must resume. */
const maxUnsentBytes = 4 * 1024 * 1024

function reply (res: ServerResponse, status: number, body: unknown): void {
  res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

function replyCompressed (req: IncomingMessage, res: ServerResponse, headers: Record<string, string>, body: unknown): void {
  const compressed = req.headers['accept-encoding'] === 'gzip'
  const encoding: Record<string, string> = compressed ? { 'content-encoding': 'gzip' } : {}
  const text = JSON.stringify(body)
  res.writeHead(200, { ...headers, ...encoding, 'content-type': 'application/json' }).end(compressed ? gzipSync(text) : text)
}

function refuse (res: ServerResponse, status: number, code: string): void {
  reply(res, status, { error: { code, message: code } })
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > maxBodyBytes) throw new Error('body too large')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

async function serve (route: Route, port: number): Promise<StandInServer> {
  const sockets = new Set<Socket>()
  const server = createServer((req, res) => {
    readBody(req).then(body => route(req, res, new URL(req.url ?? '/', 'http://stand-in'), body)).catch(() => refuse(res, 400, 'invalid_request'))
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('close', () => sockets.delete(socket))
  })
  await new Promise<void>((resolve, reject) => server.once('error', reject).listen(port, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const close = async (): Promise<void> => await new Promise(resolve => {
    server.close(() => resolve())
    for (const socket of sockets) socket.destroy()
  })
  return { address, url: `http://${address}`, close }
}

/** Serves the log. A lost response closes the connection without sending a response. */
export async function serveLog (model: LogModel, port = 0): Promise<StandInServer> {
  return await serve((req, res, url, body) => {
    const stream = /^\/streams\/([^/]+)\/records$/.exec(url.pathname)?.[1]
    if (stream === undefined) return refuse(res, 404, 'not_found')
    if (req.method === 'POST') {
      const { records } = JSON.parse(body.toString()) as { records: unknown[] }
      if (!Array.isArray(records)) return refuse(res, 400, 'invalid_request')
      model.append(stream, records, result => {
        if (result.type === 'ok') reply(res, 200, { offsets: result.offsets })
        else if (result.type === 'failed') refuse(res, 503, 'outage')
        else res.destroy()
      })
      return
    }
    const numberParam = (name: string, fallback: number): number => Number(url.searchParams.get(name) ?? fallback)
    model.read(stream, numberParam('from', 0), numberParam('limit', 100), numberParam('wait', 0), result => {
      if (result.type === 'ok') reply(res, 200, result.page)
      else if (result.type === 'expired') reply(res, 410, { first: result.first, next: result.next })
      else refuse(res, 503, 'outage')
    })
  }, port)
}

export async function serveWeightStore (model: WeightStoreModel, port = 0): Promise<StandInServer> {
  return await serve((_req, res, url) => {
    const [, adapter, version] = /^\/adapters\/([^/]+)\/([^/]+)$/.exec(url.pathname) ?? []
    if (adapter === undefined || version === undefined) return refuse(res, 404, 'not_found')
    const result = model.describe(decodeURIComponent(adapter), decodeURIComponent(version))
    if (result.type === 'ok') reply(res, 200, { bytes: result.bytes })
    else refuse(res, result.type === 'missing' ? 404 : 503, result.type)
  }, port)
}

export async function serveInstanceList (model: InstanceListModel, port = 0): Promise<StandInServer> {
  return await serve((req, res) => {
    const snapshot = model.fetch()
    if (snapshot === undefined) return refuse(res, 503, 'outage')
    const etag = `"${createHash('sha256').update(JSON.stringify(snapshot.instances)).digest('base64url')}"`
    const headers = { etag, 'x-as-of': String(snapshot.asOf) }
    if (req.headers['if-none-match'] === etag) res.writeHead(304, headers).end()
    else replyCompressed(req, res, headers, snapshot)
  }, port)
}

export async function servePlainService (model: PlainServiceModel, port = 0): Promise<StandInServer> {
  return await serve((req, res, _url, body) => {
    model.call({ method: req.method ?? 'GET', path: req.url ?? '/', headers: req.headers as Record<string, string>, body }, response => {
      if (response === undefined) res.destroy()
      else res.writeHead(response.status, response.headers).end(response.body)
    })
  }, port)
}

/** Writes one stream as server-sent events; events of the same `flushMs` are sent in one write. */
function createEventWriter (res: ServerResponse, flushMs: number): StreamListener & { open: () => void } {
  let unsent = ''
  let ending = false
  let scheduled = false
  const flush = (): void => {
    scheduled = false
    if (res.writableLength > maxUnsentBytes) res.destroy()
    else if (ending) res.end(unsent)
    else res.write(unsent)
    unsent = ''
  }
  const schedule = (): void => {
    if (scheduled) return
    scheduled = true
    if (flushMs > 0) setTimeout(flush, flushMs)
    else setImmediate(flush)
  }
  return {
    open: () => { res.writeHead(200, { 'content-type': 'text/event-stream' }).flushHeaders() },
    tokens (firstSeq, texts) {
      texts.forEach((text, index) => {
        unsent += `id: ${firstSeq + index}\ndata: {"object":"text_completion","choices":[{"index":0,"text":${JSON.stringify(text)},"finish_reason":null}]}\n\n`
      })
      schedule()
    },
    end (count, reason) {
      unsent += `data: {"object":"text_completion","choices":[{"index":0,"text":"","finish_reason":"${reason}"}],"usage":{"completion_tokens":${count}}}\n\ndata: [DONE]\n\n`
      ending = true
      schedule()
    },
    broken: () => { res.destroy() }
  }
}

const refusalStatus = { model_not_found: 404, response_not_found: 404, duplicate_request: 409, draining: 503, overloaded: 503 }

function startStream (res: ServerResponse, flushMs: number, start: (listener: StreamListener) => StreamStart): void {
  const writer = createEventWriter(res, flushMs)
  const started = start(writer)
  if (started.type === 'unreachable') {
    res.destroy()
    return
  }
  if (started.type === 'refused') return refuse(res, refusalStatus[started.code], started.code)
  writer.open()
  res.on('close', started.detach)
}

function replyToCommand (res: ServerResponse, result: EngineCommandResult): void {
  if (result.type === 'ok') reply(res, 200, {})
  else if (result.type === 'stale-fence') refuse(res, 409, 'stale_fencing_number')
  else if (result.type === 'refused') refuse(res, result.reason === 'model_not_found' ? 404 : 503, result.reason)
  else res.destroy()
}

function parseCommand (pathname: string, body: Record<string, unknown>): EngineCommand | undefined {
  if (pathname === '/v1/unload_lora_adapter') return { type: 'unload', handle: String(body.lora_name) }
  if (pathname !== '/v1/load_lora_adapter') return undefined
  const [adapter = '', version = ''] = String(body.lora_path).split('@')
  return { type: 'load', handle: String(body.lora_name), adapter, version }
}

/** @param options.flushMs - interval at which each stream's tokens are written together */
export async function serveEngine (model: EngineModel, options: { port?: number, flushMs?: number } = {}): Promise<StandInServer> {
  const flushMs = options.flushMs ?? 0
  const handlePost = (req: IncomingMessage, res: ServerResponse, pathname: string, body: Record<string, unknown>): void => {
    const command = parseCommand(pathname, body)
    if (command !== undefined) return model.command(command, Number(req.headers['x-fencing-number'] ?? -1), result => replyToCommand(res, result))
    const cancelledId = /^\/v1\/responses\/([^/]+)\/cancel$/.exec(pathname)?.[1]
    if (cancelledId !== undefined) {
      model.cancel(decodeURIComponent(cancelledId))
      return reply(res, 200, {})
    }
    if (pathname !== '/v1/completions') return refuse(res, 404, 'not_found')
    const request = { requestId: String(req.headers['x-request-id']), handle: String(body.model), prompt: String(body.prompt), maxTokens: Number(body.max_tokens), priority: Number(body.priority ?? 0) }
    startStream(res, flushMs, listener => model.generate(request, listener))
  }
  return await serve((req, res, url, body) => {
    if (req.method === 'POST') return handlePost(req, res, url.pathname, body.length > 0 ? JSON.parse(body.toString()) as Record<string, unknown> : {})
    const resumedId = /^\/v1\/responses\/([^/]+)$/.exec(url.pathname)?.[1]
    if (resumedId !== undefined) return startStream(res, flushMs, listener => model.resume(decodeURIComponent(resumedId), Number(url.searchParams.get('starting_after') ?? 0), listener))
    if (url.pathname === '/cache-events') return reply(res, 200, { events: model.cacheEvents(Number(url.searchParams.get('after') ?? 0)) })
    const report = model.status()
    if (url.pathname !== '/status') refuse(res, 404, 'not_found')
    else if (report === undefined) res.destroy()
    else replyCompressed(req, res, {}, report)
  }, options.port ?? 0)
}
