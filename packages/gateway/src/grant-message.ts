/** Checks messages about grants. A field of another type would fail later, in a timer that serves all waiting requests. */
import type { ModelDemand } from './cluster-types'
import { isCount, isFields, isNumber, isText, isTextList } from './field-checks'
import type { GrantMessage } from './grant-client'

function isPart (value: unknown): boolean {
  return isFields(value) && isText(value['id']) && isCount(value['tokens'])
}

function isDemand (value: unknown): value is ModelDemand {
  if (!isFields(value)) return false
  const { model, adapter, promptTokens, outputTokens, parts } = value
  return isText(model) && (adapter === undefined || isText(adapter)) && isCount(promptTokens) && isCount(outputTokens) && Array.isArray(parts) && parts.every(isPart)
}

function isAcquired (value: unknown): boolean {
  if (!isFields(value)) return false
  const { id, service, demand, account, priority, objectiveInMs, startInMs, deadlineInMs, pauseMs, excluded, only, softwareVersion } = value
  return isText(id) && isText(service) && isDemand(demand) && (account === undefined || isText(account)) && [priority, objectiveInMs, startInMs, deadlineInMs].every(isNumber) &&
    (pauseMs === undefined || isNumber(pauseMs)) && isTextList(excluded) && (only === undefined || isTextList(only)) && (softwareVersion === undefined || isText(softwareVersion))
}

/** @param value - parsed JSON of a peer */
export function isGrantMessage (value: unknown): value is GrantMessage {
  if (!isFields(value)) return false
  if (value['kind'] === 'acquire') return isAcquired(value['place'])
  if (!isText(value['id'])) return false
  switch (value['kind']) {
    case 'cancel':
    case 'first-event': return true
    case 'ended': return isText(value['outcome']) && (value['unusable'] === undefined || value['unusable'] === true)
    case 'granted': return isText(value['engine']) && (value['version'] === undefined || Number.isSafeInteger(value['version']))
    case 'refused': return isText(value['reason']) && isNumber(value['retryAfterMs'])
    default: return false
  }
}
