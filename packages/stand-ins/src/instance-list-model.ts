/** Simulated instance list: changes become visible after a lag. */
import type { Instance, InstanceSnapshot } from '@yuccawharf/clients'
import type { Clock } from './clock'

export type InstanceListModel = {
  /** Adds an instance or replaces the one with the same id. */
  put (instance: Instance): void
  leave (id: string): void
  remove (id: string): void
  /** @returns undefined during an outage */
  fetch (): InstanceSnapshot | undefined
  setOutage (down: boolean): void
  setLag (ms: number): void
}

/** @param options.lagMs - age of the state that `fetch` returns */
export function createInstanceListModel (options: { clock: Clock, lagMs?: number }): InstanceListModel {
  const { clock } = options
  let lagMs = options.lagMs ?? 0
  let down = false
  let history: InstanceSnapshot[] = [{ asOf: clock.now(), instances: [] }]

  const change = (edit: (instances: Instance[]) => Instance[]): void => {
    const latest = history[history.length - 1]!.instances
    history.push({ asOf: clock.now(), instances: edit(latest) })
  }

  return {
    put (instance) { change(list => [...list.filter(other => other.id !== instance.id), { ...instance }]) },
    leave (id) { change(list => list.map(other => other.id === id ? { ...other, state: 'leaving' as const } : other)) },
    remove (id) { change(list => list.filter(other => other.id !== id)) },
    fetch () {
      if (down) return undefined
      const asOf = clock.now() - lagMs
      const visible = Math.max(0, history.findLastIndex(snapshot => snapshot.asOf <= asOf))
      history = history.slice(visible)
      return { asOf, instances: history[0]!.instances }
    },
    setOutage (value) { down = value },
    setLag (ms) { lagMs = ms }
  }
}
