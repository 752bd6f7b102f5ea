/** Validates completions against the configuration and chooses an engine and its owner. */
import { createRouter, type EngineLoadHint, type Router } from '@yuccawharf/serving'
import type { Configuration } from './configuration'
import type { CoreContext } from './core-context'
import type { Engines } from './engines'
import { servingRequest } from './serving-request'
import type { Instances } from './instances'
import type { Completion } from './core-events'
import type { Peers } from './peers'

/** An engine that can run a request, and the node that owns it. */
export type EngineRoute = { engine: string, node: string, address: string }

export type Routing = {
  /** @returns why the request can never run, or undefined */
  invalidReason (completion: Pick<Completion, 'model' | 'adapter' | 'version' | 'class'>): string | undefined
  /** @returns the routes in order of preference; empty while no engine of the model has a live owner */
  routes (completion: Completion, now: number): EngineRoute[]
  /** Like {@link Routing.routes}, but unordered and without counting a request. */
  candidateRoutes (model: string, now: number): EngineRoute[]
  /** Routes in the rendezvous order of the adapter, for address responses; ignores load and does not count a request. */
  preferredRoutes (name: { model: string, adapter: string }, now: number): EngineRoute[]
  applyHint (hint: EngineLoadHint, now: number): void
}

export const createRouting = (ctx: CoreContext, configuration: Configuration, instances: Instances, engines: Engines, peers: Peers): Routing => {
  const { cfg } = ctx
  const routers = new Map<string, { router: Router, engines: string }>()

  const routeTo = (engine: string, now: number): EngineRoute | undefined => {
    const owner = engines.ownerTerm(engine)
    if (owner === undefined || (owner.node !== cfg.node && peers.status(owner, now) === 'down')) {
      return undefined
    }
    const isSelf = owner.node === cfg.node
    const address = peers.address(owner.node)
    const usable = isSelf ? engines.currentOwner(engine)?.accepting === true : address !== undefined
    return usable ? { engine, node: owner.node, address: address ?? cfg.address } : undefined
  }

  const candidateRoutes = (model: string, now: number): EngineRoute[] => {
    const group = configuration.model(model)?.group
    return instances.ofKind('engine')
      .filter(instance => instance.group === group && instance.region === cfg.region && !instances.isLeaving(instance.id))
      .flatMap(({ id }) => routeTo(id, now) ?? [])
  }

  const routerFor = (model: string, routes: EngineRoute[], now: number): Router => {
    const entry = routers.get(model) ?? { router: createRouter({ loadMs: cfg.loadMs }), engines: '' }
    const engineIds = routes.map(({ engine }) => engine)
    const key = engineIds.join(' ')
    if (entry.engines !== key) {
      entry.engines = key
      entry.router.step({ type: 'engines', engines: engineIds }, now)
    }
    routers.set(model, entry)
    return entry.router
  }

  return {
    invalidReason ({ model, adapter, version, class: name }) {
      const entry = configuration.adapter(adapter)
      if (configuration.model(model) === undefined) {
        return `model "${model}" does not exist`
      }
      if (entry === undefined || entry.model !== model) {
        return `adapter "${adapter}" does not exist for model "${model}"`
      }
      if (!entry.versions.includes(version)) {
        return `version "${version}" of adapter "${adapter}" does not exist`
      }
      return configuration.classes()[name] === undefined ? `class "${name}" does not exist` : undefined
    },
    routes (completion, now) {
      const candidates = candidateRoutes(completion.model, now)
      const rankedEngines = routerFor(completion.model, candidates, now).route(servingRequest(completion, now), now)
      return rankedEngines.flatMap(engine => candidates.find(route => route.engine === engine) ?? [])
    },
    candidateRoutes,
    preferredRoutes ({ model, adapter }, now) {
      const candidates = candidateRoutes(model, now)
      const rankedEngines = routerFor(model, candidates, now).rank(adapter)
      return rankedEngines.flatMap(engine => candidates.find(route => route.engine === engine) ?? [])
    },
    applyHint: (hint, now) => routers.forEach(({ router }) => router.step({ type: 'hint', hint }, now))
  }
}
