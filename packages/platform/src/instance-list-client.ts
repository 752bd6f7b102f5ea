/** HTTP client of the instance list. */
import { validateInstanceListBody, type InstanceListBody } from '@yuccawharf/schema'
import { createHttpClient, parseJson, type HttpClientOptions } from './http-client'
import type { InstanceList, InstanceSnapshot } from './interfaces'

export interface InstanceListClient extends InstanceList {
  close (): Promise<void>
}

/** The list counts as not answering when its response is malformed or names an instance twice. */
export function createInstanceListClient (options: HttpClientOptions): InstanceListClient {
  const http = createHttpClient(options)
  return {
    async fetch () {
      const result = await http.exchange({ method: 'GET', path: '/instances' })
      if (result.type !== 'ok' || result.response.status !== 200) return undefined
      const body = parseJson(result.response.body)
      if (!validateInstanceListBody(body)) return undefined
      const snapshot = body as InstanceListBody as InstanceSnapshot
      const ids = new Set(snapshot.instances.map(instance => instance.id))
      return ids.size === snapshot.instances.length ? snapshot : undefined
    },
    close: http.close
  }
}
