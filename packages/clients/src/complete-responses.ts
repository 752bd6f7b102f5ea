/** Passes on no response whose status is none; bounds what servers may send beside a response. */
import { Agent, DecoratorHandler, type Dispatcher } from 'undici'
import { createPieceBatch } from './piece-batch'
import { framingOf, isComplete, UnprovenEndError, type BodyFraming } from './response-framing'
import { limitReads, type ResponseReads } from './response-reads'
import { createTrafficMonitor } from './response-traffic'
import { asSocket, type ServerConnection, type ServerConnector } from './server-connection'

/** The statuses that HTTP defines (RFC 9110, section 15). */
export function isValidStatus (status: number): boolean {
  return Number.isInteger(status) && status >= 100 && status <= 599
}

/** State of the connections of an agent within the current event. */
type AgentWatch = {
  /** The connection whose bytes are being parsed. */
  reading?: ResponseReads
  connection?: ServerConnection
}

interface ResponseHandler {
  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: Record<string, string | string[]>, message?: string): void
  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void
  onResponseEnd (controller: Dispatcher.DispatchController, trailers: Record<string, string | string[]>): void
  onResponseError (controller: Dispatcher.DispatchController, err: Error): void
}

/** The types of undici lack the methods of this class. */
const ForwardingHandler = DecoratorHandler as unknown as new (handler: Dispatcher.DispatchHandler) => ResponseHandler

class CompleteResponseHandler extends ForwardingHandler {
  private controller: Dispatcher.DispatchController | undefined
  private framing: BodyFraming = 'none'
  private readonly batch = createPieceBatch(bytes => { super.onResponseData(this.controller!, bytes) }, err => { this.controller!.abort(err) })

  constructor (handler: Dispatcher.DispatchHandler, private readonly method: string, private readonly watch: AgentWatch) {
    super(handler)
  }

  override onResponseStart (...args: Parameters<ResponseHandler['onResponseStart']>): void {
    const [controller, status, headers] = args
    // undici closes the connection and reports the error.
    if (!isValidStatus(status)) throw new Error(`the response has the invalid status ${status}`)
    // The handlers of undici expect one head, and fail with an assertion at the one after an interim response.
    if (status < 200) return
    this.controller = controller
    this.framing = framingOf({ method: this.method, status }, name => headers[name]?.toString())
    this.watch.reading?.progressed()
    super.onResponseStart(...args)
  }

  override onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.watch.reading?.progressed()
    this.watch.reading?.piece(chunk.length)
    this.batch.push(chunk)
  }

  override onResponseEnd (...args: Parameters<ResponseHandler['onResponseEnd']>): void {
    this.watch.reading?.progressed()
    this.watch.reading?.ended()
    this.batch.flush()
    const [controller] = args
    if (isComplete(this.framing, this.watch.connection)) super.onResponseEnd(...args)
    else super.onResponseError(controller, new UnprovenEndError('the connection was closed before the server ended it'))
  }

  override onResponseError (...args: Parameters<ResponseHandler['onResponseError']>): void {
    this.batch.flush()
    super.onResponseError(...args)
  }
}

/** Creates a pool of connections that reports only valid and complete responses as such. */
export function createCheckedAgent (options: Agent.Options, connect: ServerConnector): Dispatcher {
  const watch: AgentWatch = {}
  const traffic = createTrafficMonitor()
  const agent = new Agent({
    ...options,
    connect (target, callback) {
      connect(target, (...[err, connection]) => {
        if (err !== null) return callback(err, null)
        limitReads(connection, reads => { Object.assign(watch, { reading: reads, connection }) }, traffic.connected(target.hostname))
        callback(null, asSocket(connection))
      })
    }
  })
  return agent.compose(dispatch => (target, handler) => dispatch(target, new CompleteResponseHandler(handler, target.method, watch)))
}
