/** HTTP servers for readiness checks, address queries and metrics. */
import type { RequestListener, Server } from 'node:http'
import { createBoundedServer, type ServerBounds } from '@yuccawharf/clients'
import type { DecisionLog } from './decision-log'
import { explainPath } from './explain-resource'
import type { GatewayMetrics } from './gateway-metrics'
import type { AddressResponse, AddressQuery, IngressCodec } from './platform-interface'

/** Responds to the platform's readiness checks with 200 while the node is ready, otherwise with 503. */
export function createReadyServer (ingress: IngressCodec, isReady: () => boolean, bounds?: ServerBounds): Server {
  return createBoundedServer((req, res) => {
    res.writeHead(req.url === ingress.readyPath && isReady() ? 200 : 503).end()
  }, {}, bounds)
}

/** Serves the addresses that clients should use; responds with 503 if there are none. */
export function createDirectoryServer (ingress: IngressCodec, resolveAddresses: (query: AddressQuery) => AddressResponse, bounds?: ServerBounds): Server {
  return createBoundedServer((req, res) => {
    const query = ingress.addressQuery(req.method ?? 'GET', req.url ?? '/')
    const response = query === undefined ? undefined : resolveAddresses(query)
    if (response === undefined || response.addresses.length === 0) {
      res.writeHead(response === undefined ? 404 : 503).end()
      return
    }
    const body = ingress.addressResponse(response)
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body)
  }, {}, bounds)
}

/** Serves the metrics in the text format of Prometheus, and explanations of requests at `/explain`. */
export function createMetricsServer (metrics: GatewayMetrics, path: string, log: DecisionLog, bounds?: ServerBounds, explain?: RequestListener): Server {
  let readable = true
  return createBoundedServer((req, res) => {
    if (req.url === explainPath && explain !== undefined) return explain(req, res)
    if (req.url !== path) {
      res.writeHead(404).end()
      return
    }
    let unreadable: Error | undefined
    metrics.text(err => { unreadable = err }).finally(() => {
      if (readable && unreadable !== undefined) log.warn('process-unreadable', { reason: unreadable.message })
      readable = unreadable === undefined
    }).then(text => res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text), err => {
      log.error('metrics-failed', { reason: (err as Error).message })
      res.writeHead(500).end()
    })
  }, {}, bounds)
}
