/** HTTP client for one instance of a plain service. */
import { createHttpClient, type HttpClientOptions } from './http-client'
import type { PlainService } from './interfaces'

export interface PlainServiceClient extends PlainService {
  close (): Promise<void>
}

/** Headers that apply to a single connection and aren't forwarded. */
const connectionHeaders = new Set(['connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'host', 'content-length', 'expect'])

function forwardedHeaders (headers: Record<string, string>): Record<string, string> {
  const listed = (headers.connection ?? '').toLowerCase().split(',').map(name => name.trim())
  const kept = Object.entries(headers).filter(([name]) => !connectionHeaders.has(name.toLowerCase()) && !listed.includes(name.toLowerCase()))
  return Object.fromEntries(kept)
}

/** Creates the client. It sends each call once and never retries. */
export function createPlainServiceClient (options: HttpClientOptions): PlainServiceClient {
  const http = createHttpClient(options)
  return {
    async call (req, signal) {
      const body = req.body.length > 0 ? req.body : undefined
      const result = await http.exchange({ method: req.method, path: req.path, headers: forwardedHeaders(req.headers), body, signal })
      if (result.type !== 'ok') return result
      const { status, headers, body: received } = result.response
      return { type: 'ok', response: { status, headers: forwardedHeaders(headers), body: received } }
    },
    close: http.close
  }
}
