/** HTTP client for the instance list. Requests are conditional, so an unchanged list isn't sent again; a changed one is compressed. */
import { validateInstanceListBody, type InstanceListBody } from '@yuccawharf/schema'
import { createHttpClient, decodedBody, parseJson, type HttpClientOptions, type HttpResponse } from './http-client'
import type { InstanceList, InstanceSnapshot } from './interfaces'

export interface InstanceListClient extends InstanceList {
  close (): Promise<void>
}

type Cached = { etag: string, snapshot: InstanceSnapshot }

function parseList (response: HttpResponse): InstanceSnapshot | undefined {
  const bytes = decodedBody(response)
  const body = bytes === undefined ? undefined : parseJson(bytes)
  if (!validateInstanceListBody(body)) return undefined
  const snapshot = body as InstanceListBody as InstanceSnapshot
  const ids = new Set(snapshot.instances.map(instance => instance.id))
  return ids.size === snapshot.instances.length ? snapshot : undefined
}

/** @returns the cached instances with the time stated by a 304 response */
function unchanged ({ headers }: HttpResponse, cached: Cached | undefined): InstanceSnapshot | undefined {
  const asOf = Number(headers['x-as-of'] ?? Number.NaN)
  return cached === undefined || !Number.isFinite(asOf) ? undefined : { asOf, instances: cached.snapshot.instances }
}

/** Creates the client. A response that is malformed or lists an instance twice counts as no response. */
export function createInstanceListClient (options: HttpClientOptions): InstanceListClient {
  const http = createHttpClient(options)
  let cached: Cached | undefined
  return {
    async fetch () {
      const condition: Record<string, string> = cached === undefined ? {} : { 'if-none-match': cached.etag }
      const result = await http.exchange({ method: 'GET', path: '/instances', headers: { 'accept-encoding': 'gzip', ...condition } })
      if (result.type !== 'ok') return undefined
      const { response } = result
      if (response.status === 304) return unchanged(response, cached)
      if (response.status !== 200) return undefined
      const snapshot = parseList(response)
      const { etag } = response.headers
      cached = snapshot === undefined || etag === undefined ? undefined : { etag, snapshot }
      return snapshot
    },
    close: http.close
  }
}
