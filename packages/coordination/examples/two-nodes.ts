/**
 * Two nodes share one log without the daemon: they agree on the owner of a job and on the
 * configuration. Run it with `npx tsx packages/coordination/examples/two-nodes.ts`.
 */
import { pathToFileURL } from 'node:url'
import { createConfigReducer, createOwnershipReducer, createTakeoverPolicy, takeoverDefaults, type OwnershipReducer } from '@yuccawharf/coordination'

/** In-memory stand-in for the platform's log. */
function createSharedLog () {
  const records: unknown[] = []
  return {
    append: (value: unknown): number => records.push(value) - 1,
    readInto (apply: (entry: { offset: number, time: number, value: unknown }) => void, from: number): void {
      records.slice(from).forEach((value, index) => apply({ offset: from + index, time: 0, value }))
    }
  }
}

function createNode (id: string, incarnation: number) {
  return { id, incarnation, ownership: createOwnershipReducer(), takeover: createTakeoverPolicy({ ...takeoverDefaults, node: id, incarnation }) }
}

function describe (id: string, ownership: OwnershipReducer): string {
  const owner = ownership.owner('job')
  return `${id}: the owner is ${owner?.node ?? 'nobody'} with fencing number ${owner?.term ?? '-'}`
}

/** @returns what the example prints */
export function runExample (): string[] {
  const lines: string[] = []
  const log = createSharedLog()
  const nodes = [createNode('a', 1), createNode('b', 1)]
  // Both nodes consider themselves the first candidate and append; the order of the log decides.
  for (const { takeover } of nodes) {
    const input = { engine: 'job', latest: -1, term: -1, owner: 'none' as const, rank: 0 }
    takeover.decide([input], 1_000).forEach(record => log.append(record))
  }
  for (const { id, ownership } of nodes) {
    log.readInto(ownership.apply, 0)
    lines.push(describe(id, ownership))
  }

  const changes = createSharedLog()
  const reducer = createConfigReducer({ validate: () => [] })
  changes.append({ type: 'change', id: 'first', base: -1, writes: { limit: 10 }, reads: [], by: 'alice' })
  changes.append({ type: 'change', id: 'second', base: -1, writes: { limit: 20 }, reads: [], by: 'bob' })
  changes.readInto(reducer.apply, 0)
  for (const id of ['first', 'second']) lines.push(`change ${id}: ${reducer.outcome(id)?.type}`)
  lines.push(`limit is ${String(reducer.view.get('limit'))} at revision ${reducer.revision}`)
  return lines
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) runExample().forEach(line => console.log(line))
