/** Client of the path benchmark: reads streams with as little work per token as possible. */
import { Agent, type Dispatcher } from 'undici'
import { createResponseParser } from '@yuccawharf/serving'

export type StreamTarget = {
  origin: string
  /** Model name for a node, handle for an engine. */
  model: string
}

export type StreamObserver = {
  /** Consecutive tokens arrived at the time `at`. */
  tokens? (requestId: string, first: number, last: number, at: number): void
}

export type PathClient = {
  /** Reads one stream to its end. @throws when the response is incomplete */
  read (target: StreamTarget, requestId: string, tokens: number, observer?: StreamObserver): Promise<void>
  close (): Promise<void>
}

/** Creates a client with its own connection pool. */
export function createPathClient (): PathClient {
  const dispatcher: Dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })

  async function read (target: StreamTarget, requestId: string, tokens: number, observer: StreamObserver = {}): Promise<void> {
    const body = JSON.stringify({ model: target.model, prompt: 'bench', max_tokens: tokens, stream: true })
    const headers = { 'content-type': 'application/json', 'x-request-id': requestId, 'x-class': 'bench' }
    const parser = createResponseParser()
    let status = 0
    let last = 0
    let count = -1
    await new Promise<void>((resolve, reject) => {
      dispatcher.dispatch({ origin: target.origin, path: '/v1/completions', method: 'POST', headers, body }, {
        onRequestStart () {},
        onResponseStart (_controller, statusCode) { status = statusCode },
        onResponseData (_controller, chunk) {
          const at = performance.now()
          if (status !== 200) return
          for (const event of parser.push(chunk)) {
            if (event.type === 'finish') count = event.count
            if (event.type !== 'tokens') continue
            observer.tokens?.(requestId, event.first, event.last, at)
            last = event.first === last + 1 ? event.last : Number.NaN
          }
        },
        onResponseEnd: () => resolve(),
        onResponseError: (_controller, err) => reject(err)
      })
    })
    if (status !== 200 || last !== tokens || count !== tokens) throw new Error(`stream ${requestId}: status ${status}, ${last} tokens received, end event reports ${count} of ${tokens}`)
  }

  return { read, close: async () => await dispatcher.destroy() }
}

/** Runs `total` streams, `parallel` at a time. */
export async function readStreams (total: number, parallel: number, read: (number: number) => Promise<void>): Promise<void> {
  let next = 0
  async function worker (): Promise<void> {
    while (next < total) await read(next++)
  }
  await Promise.all(Array.from({ length: parallel }, worker))
}
