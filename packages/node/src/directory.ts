/** Instances and their addresses, from the latest instance list. */
import type { Instance, InstanceKind, InstanceSnapshot } from '@yuccawharf/clients'

export type Directory = {
  update (snapshot: InstanceSnapshot): void
  address (id: string): string | undefined
  instance (id: string): Instance | undefined
  /** Instances of a kind, including leaving ones. */
  list (kind: InstanceKind): Instance[]
}

/** Creates an empty directory. A snapshot replaces all instances, unless it is older than the current one. */
export function createDirectory (): Directory {
  let instances = new Map<string, Instance>()
  let asOf = Number.NEGATIVE_INFINITY
  return {
    update (snapshot) {
      if (snapshot.asOf < asOf) return
      asOf = snapshot.asOf
      instances = new Map(snapshot.instances.map(instance => [instance.id, instance]))
    },
    address: id => instances.get(id)?.address,
    instance: id => instances.get(id),
    list: kind => [...instances.values()].filter(instance => instance.kind === kind)
  }
}
