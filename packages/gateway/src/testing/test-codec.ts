/** Header codec with plain names, so that tests of the gateway do not depend on a platform. */
import type { HeaderCodec, RawHeaders } from '../platform-interface'

function valueOf (raw: RawHeaders, name: string): string | undefined {
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.toLowerCase() === name) return raw[index + 1]
  }
  return undefined
}

export const testCodec: HeaderCodec = {
  request (raw) {
    const adapter = valueOf(raw, 'x-adapter')
    const resumes = valueOf(raw, 'x-resumes')
    const lastEventId = valueOf(raw, 'x-last')
    const partIds = valueOf(raw, 'x-parts')
    const parts = (partIds ?? '').split(',').filter(id => id !== '').map(id => ({ id, tokens: 10 }))
    const demand = { model: 'base', ...(adapter === undefined ? {} : { adapter }), promptTokens: 100, outputTokens: 10, parts }
    const tokens = valueOf(raw, 'x-tokens')
    const key = valueOf(raw, 'x-key')
    const headers = raw.filter((_, index) => !['connection', 'host', 'x-last', 'content-length', 'transfer-encoding'].includes(raw[index - index % 2]!.toLowerCase()))
    return { id: valueOf(raw, 'x-id') ?? '', headers, ...(lastEventId === undefined ? {} : { lastEventId }), ...(resumes === undefined ? {} : { resumes }), ...(adapter === undefined && partIds === undefined ? {} : { demand }), ...(tokens === undefined ? {} : { statedTokens: Number(tokens) }), ...(key === undefined ? {} : { key }) }
  },
  withAccount ({ key: _key, ...metadata }, account) {
    const headers = metadata.headers.filter((_, index) => !['x-key', 'x-account'].includes(metadata.headers[index - index % 2]!.toLowerCase()))
    return { ...metadata, headers: account === undefined ? headers : [...headers, 'X-Account', account] }
  },
  attempt (metadata, { instanceId, remainingMs, version, lastEventId = metadata.lastEventId }) {
    return [...metadata.headers, 'X-Instance', instanceId, 'X-Remaining', String(Math.floor(remainingMs)), ...(version === undefined ? [] : ['X-Version', String(version)]), ...(lastEventId === undefined ? [] : ['X-Last', lastEventId])]
  },
  response (status, raw) {
    const requestId = valueOf(raw, 'x-id')
    const limit = valueOf(raw, 'x-limit')
    const rejections = valueOf(raw, 'x-brittle')
    const waitSeconds = status === 503 ? valueOf(raw, 'retry-after') : undefined
    const statements = {
      ...(limit === undefined ? {} : { requestsPerSecond: Number(limit) }),
      ...(rejections === undefined ? {} : { rejectionsPerSecond: Number(rejections) }),
      ...(valueOf(raw, 'x-leaving') === undefined ? {} : { leaving: true as const }),
      ...(waitSeconds === undefined ? {} : { waitMs: 1000 * Number(waitSeconds) }),
      unusable: []
    }
    return {
      ...(requestId === undefined ? {} : { requestId }),
      signed: valueOf(raw, 'x-seal') !== undefined,
      notRun: valueOf(raw, 'x-not-run') !== undefined,
      encoded: valueOf(raw, 'content-encoding') !== undefined,
      statements,
      headers: raw.filter((_, index) => !['connection', 'keep-alive', 'transfer-encoding'].includes(raw[index - index % 2]!.toLowerCase()))
    }
  },
  identify: id => ({ 'X-Id': id }),
  retryAfter: ms => String(ms / 1000)
}
