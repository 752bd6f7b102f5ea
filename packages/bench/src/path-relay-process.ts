/**
 * Relays that the path benchmark compares a node with, in a separate process. Arguments: kind, engine
 * URL, address to listen on. `bare` forwards bytes through Node's HTTP server and undici without parsing
 * them, which shows the limit of these libraries. `trpc` sends each token as a value of a tRPC subscription.
 */
import { createServer, type RequestListener } from 'node:http'
import { initTRPC, tracked } from '@trpc/server'
import { nodeHTTPRequestHandler } from '@trpc/server/adapters/node-http'
import { Agent } from 'undici'

const [kind = 'bare', engineUrl = '', address = '127.0.0.1:0'] = process.argv.slice(2)
const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })

function openEngineStream (requestId: string, body: string, chunk: (bytes: Buffer) => void, end: () => void): void {
  const headers = { 'content-type': 'application/json', 'x-request-id': requestId }
  dispatcher.dispatch({ origin: engineUrl, path: '/v1/completions', method: 'POST', headers, body }, {
    onRequestStart () {},
    onResponseStart () {},
    onResponseData: (_controller, bytes) => chunk(bytes),
    onResponseEnd: end,
    onResponseError: end
  })
}

const bare: RequestListener = (req, res) => {
  const parts: Buffer[] = []
  req.on('data', (part: Buffer) => parts.push(part))
  req.on('end', () => {
    res.writeHead(200, { 'content-type': 'text/event-stream' })
    openEngineStream(String(req.headers['x-request-id']), Buffer.concat(parts).toString(), bytes => { res.write(bytes) }, () => { res.end() })
  })
}

type Token = { seq: number, text: string }

/** Decodes the engine's events and queues the tokens until the subscription reads them. */
async function * readTokens (requestId: string, body: string): AsyncGenerator<Token> {
  const queue: Token[] = []
  let remainder = ''
  let ended = false
  let wake = (): void => {}
  openEngineStream(requestId, body, bytes => {
    const blocks = (remainder + bytes.toString('utf8')).split('\n\n')
    remainder = blocks.pop() ?? ''
    for (const block of blocks) {
      if (!block.startsWith('id: ')) continue
      const line = block.indexOf('\n')
      const data = JSON.parse(block.slice(line + 7)) as { choices: { text: string }[] }
      queue.push({ seq: Number(block.slice(4, line)), text: data.choices[0]?.text ?? '' })
    }
    wake()
  }, () => {
    ended = true
    wake()
  })
  for (;;) {
    for (let token = queue.shift(); token !== undefined; token = queue.shift()) yield token
    if (ended) return
    await new Promise<void>(resolve => { wake = resolve })
  }
}

const trpc = initTRPC.create()
const router = trpc.router({
  tokens: trpc.procedure.input(value => value as { requestId: string, body: string }).subscription(async function * ({ input }) {
    for await (const token of readTokens(input.requestId, input.body)) yield tracked(String(token.seq), token)
  })
})
const overTrpc: RequestListener = (req, res) => {
  nodeHTTPRequestHandler({ req, res, path: 'tokens', router, createContext: () => ({}) }).catch(() => res.destroy())
}

const [host, port] = address.split(':')
createServer({ noDelay: true }, kind === 'trpc' ? overTrpc : bare).listen(Number(port), host, () => console.log('ready'))
