/** `demo --serve`: keeps the demo's platform and nodes running for manual requests. */
import { demoModel, startDemoPlatform, demoVersion, waitForOwners } from './demo-platform'

/** Prints example curl commands and serves until SIGINT or SIGTERM. */
export async function serveDemo (out: (line: string) => void): Promise<void> {
  const platform = await startDemoPlatform({ engines: 4, adapters: 64, seed: 7 })
  await waitForOwners(platform)
  const nodeUrl = platform.nodes[0]?.url ?? ''
  const otherUrl = platform.nodes[1]?.url ?? ''
  const model = `${demoModel}:${platform.adapters[5] ?? ''}@${demoVersion(5)}`
  const body = JSON.stringify({ model, prompt: 'Write a short quote.', max_tokens: 40, stream: true })
  out('Three nodes are running. Try these commands; stop with Ctrl-C:')
  out('')
  out('# Addresses for an adapter, nearest zone first')
  out(`curl '${nodeUrl}/v1/addresses?model=${encodeURIComponent(model)}&zone=zone-b'`)
  out('# A streamed completion')
  out(`curl -N ${nodeUrl}/v1/completions -H 'X-Class: chat' -H 'X-Request-Id: by-hand-1' -d '${body}'`)
  out('# The same response after event 30, from another node')
  out(`curl -N ${otherUrl}/v1/completions/by-hand-1 -H 'Last-Event-ID: 30'`)
  out('# A completion without streaming')
  out(`curl ${nodeUrl}/v1/completions -H 'X-Class: chat' -d '${JSON.stringify({ model, prompt: 'Write a short quote.', max_tokens: 10 })}'`)
  out('# An order that runs once, however often the command is repeated')
  out(`KEY=$(curl -s '${nodeUrl}/v1/addresses?service=order-desk' | sed 's/.*"orderKeyPrefix":"\\([^"]*\\)".*/\\1/')by-hand-1`)
  out(`curl ${nodeUrl}/v1/services/order-desk/orders -H "Idempotency-Key: $KEY" -d '{"item":"quote"}'`)
  out('# Configuration, status and timeline')
  out(`curl ${nodeUrl}/admin/config; curl ${nodeUrl}/admin/status; curl '${nodeUrl}/admin/timeline?request=by-hand-1'`)
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve)
    process.once('SIGTERM', resolve)
  })
  await platform.close()
}
