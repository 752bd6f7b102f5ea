/** Configuration of a small deployment: one service of model servers with many adapters, and one plain service. */

export const host = 'kits.example'
export const model = 'base70b'
export const engineService = 'drafts'
export const plainService = 'orders'

export const draftPath = '/drafts/new/'
export const orderPath = '/orders/place/'
export const stockPath = '/orders/stock/'

/** Ten requests of the sheet's kinds: `quote-draft` or `brief-draft`, `order-place`, `stock-read`. */
export const draftDeadlineMs = 6000
export const orderDeadlineMs = 4000

export function configuration (version = 1) {
  return {
    version,
    routes: [
      { name: 'r-drafts', host, path_prefix: draftPath, route_kind: 'streaming', timeout_ms: 6000, goal_ms: 1000, priority: 1, service: engineService, attempts: 1, sticky: true, resumable: false, gap_aim_ms: 600 },
      { name: 'r-orders', host, path_prefix: orderPath, route_kind: 'non_idempotent', timeout_ms: 4000, goal_ms: 386, priority: 2, service: plainService, attempts: 1 },
      { name: 'r-stock', host, path_prefix: stockPath, route_kind: 'idempotent', timeout_ms: 4000, goal_ms: 386, priority: 2, service: plainService, attempts: 2 }
    ],
    services: [
      { name: engineService, health_path: '/healthz', max_conns: 360, protocol: 'h1', tls: false, engine: { slots: 64, kv_capacity: 232_000, kv_token_bytes: 327_680, link_mbps: 260_000, stride: 4, max_count: 12, models: [{ name: model, weights_mb: 34_300, load_s: 1, adapters: 3000, adapter_size_mb: 66 }], weights_mb: 35_000, adapter_slots: 8, loads_per_s: 2.1 } },
      { name: plainService, health_path: '/healthz', max_conns: 96, protocol: 'h1', tls: false }
    ],
    limits: { max_header_bytes: 16_384, max_body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000 }
  }
}

/** Headers of a request for a draft with an adapter. */
export const draftHeaders = adapter => ({ Model: `${model}/${adapter}`, 'Token-Usage': '800,16', 'Prompt-Prefix': `5c1e07a2:300,${Math.floor(Math.random() * 2 ** 31).toString(16)}:500` })
