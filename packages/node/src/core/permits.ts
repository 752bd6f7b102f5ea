/** Load permits at one node: requests for its own engines, and the issuer's role when this node issues the permits. */
import { createPermitClient, createPermitIssuer, type PermitClientAction, type PermitGrant } from '@yuccawharf/serving'
import type { CoreContext } from './core-context'
import type { Peers } from './peers'

export type Permits = {
  tick (now: number): void
  request (engine: string, urgency: number, now: number): void
  release (permitId: string, unused: true | undefined, now: number): void
  receiveRequest (from: string, engine: string, urgency: number, now: number): void
  receiveReturn (permitId: string, unused: true | undefined, now: number): void
  receiveGrant (engine: string, permitId: string, remainingMs: number, now: number): void
}

/** A load whose permit was not returned is assumed to have ended after this time, in ms. */
const expiryMs = 10_000

/** @param grant - passes a permit to the scheduler of an engine of this node */
export const createPermits = (ctx: CoreContext, peers: Peers, grant: (engine: string, permitId: string, expiresAt: number, now: number) => void): Permits => {
  const { cfg } = ctx
  const limits = { inFlight: cfg.loadsInFlight, perSecond: cfg.loadsPerSecond, expiryMs }
  const client = createPermitClient(cfg.node, limits)
  const issuer = createPermitIssuer(`${cfg.node}/${cfg.incarnation}`, limits)
  const requestedBy = new Map<string, string>()
  let peersVersion = -1

  const applyGrant = (engine: string, permitId: string, expiresAt: number, now: number): void =>
    performAll(client.step({ type: 'granted', engine, permitId, expiresAt }, now), now)

  const grantAll = (grants: PermitGrant[], now: number): void => {
    for (const { engine, permitId, expiresAt } of grants) {
      const node = requestedBy.get(engine) ?? cfg.node
      if (node === cfg.node) {
        applyGrant(engine, permitId, expiresAt, now)
      } else {
        peers.send(node, { type: 'permit-grant', engine, permitId, remainingMs: expiresAt - now })
      }
    }
  }

  const receiveRequest = (from: string, engine: string, urgency: number, now: number): void => {
    requestedBy.set(engine, from)
    grantAll(issuer.step({ type: 'request', engine, urgency }, now), now)
  }

  const receiveReturn = (permitId: string, unused: true | undefined, now: number): void =>
    grantAll(issuer.step({ type: 'release', permitId, ...(unused === undefined ? {} : { unused }) }, now), now)

  const perform = (action: PermitClientAction, now: number): void => {
    switch (action.type) {
      case 'permit': return grant(action.engine, action.permitId, action.expiresAt, now)
      case 'request':
        if (action.node === cfg.node) {
          return receiveRequest(cfg.node, action.engine, action.urgency, now)
        }
        return peers.send(action.node, { type: 'permit-ask', engine: action.engine, urgency: action.urgency })
      case 'return':
        if (action.node === cfg.node) {
          return receiveReturn(action.permitId, action.unused, now)
        }
        return peers.send(action.node, { type: 'permit-return', permitId: action.permitId, ...(action.unused === undefined ? {} : { unused: action.unused }) })
    }
  }

  const performAll = (actions: PermitClientAction[], now: number): void => actions.forEach(action => perform(action, now))

  const checkIssuer = (now: number): void => {
    const node = client.issuer()
    const isSuspected = node !== undefined && node !== cfg.node && peers.member(node)?.state !== 'alive'
    if (isSuspected) {
      performAll(client.step({ type: 'unreachable', node }, now), now)
    }
  }

  const updateNodes = (now: number): void => {
    if (peersVersion !== peers.version) {
      peersVersion = peers.version
      performAll(client.step({ type: 'nodes', nodes: peers.live().map(({ id }) => id) }, now), now)
    }
  }

  return {
    tick (now) {
      updateNodes(now)
      checkIssuer(now)
      performAll(client.step({ type: 'tick' }, now), now)
      grantAll(issuer.step({ type: 'tick' }, now), now)
    },
    request: (engine, urgency, now) => performAll(client.step({ type: 'request', engine, urgency }, now), now),
    release: (permitId, unused, now) => performAll(client.step({ type: 'release', permitId, ...(unused === undefined ? {} : { unused }) }, now), now),
    receiveRequest,
    receiveReturn,
    receiveGrant: (engine, permitId, remainingMs, now) => applyGrant(engine, permitId, now + remainingMs, now)
  }
}
