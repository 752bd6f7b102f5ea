/** Instances of the newest instance list, and those known to be leaving from the list, a peer or the instance itself. */
import type { Instance, InstanceKind, InstanceSnapshot } from '@yuccawharf/clients'
import type { CoreContext } from './core-context'
import type { Peers } from './peers'

export type Instances = {
  applyList (snapshot: InstanceSnapshot, now: number): void
  /** Receives from a peer or the instance itself that it is leaving; `asOf` is the time of the instance list, or -1. */
  receiveLeaving (instance: string, asOf: number, now: number): void
  isLeaving (instance: string): boolean
  /** Discards the leaving state that the instance reported itself, because it has restarted. */
  instanceRestarted (instance: string, now: number): void
  /** Time at which the instance became known to be leaving, in ms. */
  leavingSince (instance: string): number | undefined
  get (id: string): Instance | undefined
  ofKind (kind: InstanceKind): Instance[]
  readonly version: number
}

type Leaving = { asOf: number, since: number }

/** Up to this many peers are all notified directly; with more, each node passes the update on to this many. */
const maxNotifiedPeers = 12

/** @param onLeavingChanged - called when an instance becomes known to be leaving, and when it accepts work again */
export const createInstances = (ctx: CoreContext, peers: Peers, onLeavingChanged: (instance: string, isLeaving: boolean, now: number) => void): Instances => {
  let instances = new Map<string, Instance>()
  let asOf = -Infinity
  let version = 0
  const leaving = new Map<string, Leaving>()

  const notifyPeers = (instance: string, announcedAsOf: number): void => {
    const others = peers.live().filter(({ id }) => id !== ctx.cfg.node)
    const start = Math.floor(ctx.uniform() * others.length)
    const chosen = others.length <= maxNotifiedPeers ? others : [...others.slice(start), ...others.slice(0, start)].slice(0, maxNotifiedPeers)
    chosen.forEach(({ id }) => peers.send(id, { type: 'leaving', instance, asOf: announcedAsOf }))
  }

  const markLeaving = (instance: string, announcedAsOf: number, now: number): void => {
    const entry = leaving.get(instance)
    if (entry !== undefined) {
      entry.asOf = Math.max(entry.asOf, announcedAsOf)
      return
    }
    version += 1
    leaving.set(instance, { asOf: announcedAsOf, since: now })
    ctx.record('leaving', { engine: instance })
    notifyPeers(instance, announcedAsOf)
    onLeavingChanged(instance, true, now)
  }

  const clearLeaving = (instance: string, now: number): void => {
    leaving.delete(instance)
    version += 1
    onLeavingChanged(instance, false, now)
  }

  const updateLeaving = (instance: Instance, now: number): void => {
    const entry = leaving.get(instance.id)
    if (instance.state === 'leaving') {
      markLeaving(instance.id, asOf, now)
    } else if (entry !== undefined && entry.asOf >= 0 && entry.asOf < asOf) {
      // A later list shows the instance as live again. A state that it reported itself stays until it is gone.
      clearLeaving(instance.id, now)
    }
  }

  return {
    applyList (snapshot, now) {
      if (snapshot.asOf < asOf) {
        return
      }
      asOf = snapshot.asOf
      instances = new Map(snapshot.instances.map(instance => [instance.id, instance]))
      version += 1
      for (const id of [...leaving.keys()].filter(id => !instances.has(id))) {
        clearLeaving(id, now)
      }
      snapshot.instances.filter(({ kind }) => kind !== 'node').forEach(instance => updateLeaving(instance, now))
    },
    receiveLeaving: markLeaving,
    isLeaving: instance => ctx.hooks.ignoreLeaving !== true && leaving.has(instance),
    instanceRestarted (instance, now) {
      if (leaving.get(instance)?.asOf === -1) {
        clearLeaving(instance, now)
      }
    },
    leavingSince: instance => leaving.get(instance)?.since,
    get: id => instances.get(id),
    ofKind: kind => [...instances.values()].filter(instance => instance.kind === kind),
    get version () {
      return version
    }
  }
}
