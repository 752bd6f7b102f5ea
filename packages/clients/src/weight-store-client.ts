/** HTTP client of the weight store. */
import { validateWeightBody, type WeightBody } from '@yuccawharf/schema'
import { createHttpClient, parseJson, type HttpClientOptions } from './http-client'
import type { WeightStore } from './interfaces'

export interface WeightStoreClient extends WeightStore {
  close (): Promise<void>
}

export function createWeightStoreClient (options: HttpClientOptions): WeightStoreClient {
  const http = createHttpClient(options)
  return {
    async describe (adapter, version) {
      const path = `/adapters/${encodeURIComponent(adapter)}/${encodeURIComponent(version)}`
      const result = await http.exchange({ method: 'GET', path })
      if (result.type !== 'ok') return { type: 'failed', reason: result.reason }
      const { status, body } = result.response
      if (status === 404) return { type: 'missing' }
      if (status !== 200) return { type: 'failed', reason: `weight store answered ${status}` }
      const description = parseJson(body)
      if (!validateWeightBody(description)) return { type: 'failed', reason: 'malformed response' }
      return { type: 'ok', bytes: (description as WeightBody).bytes }
    },
    close: http.close
  }
}
