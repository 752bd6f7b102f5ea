/**
 * Compact JSON form of membership messages. Property names would take half of each datagram, and
 * the control traffic of a node is limited to 3 KB/s.
 */
import type { MembershipMessage, MemberState, MemberUpdate } from './membership-types'

type PackedUpdate = [id: string, address: string, incarnation: number, refutation: number, state: number]
export type PackedMembership = [type: number, from: string, probe: number, updates: PackedUpdate[], targetId?: string, targetAddress?: string]

const messageTypes: MembershipMessage['type'][] = ['ping', 'ping-request', 'ack']
const memberStates: MemberState[] = ['alive', 'suspect', 'dead']
/** Added to the index of the state when the member is leaving. */
const leavingFlag = 4

export const packUpdate = (update: MemberUpdate): PackedUpdate =>
  [update.id, update.address, update.incarnation, update.refutation, memberStates.indexOf(update.state) + (update.leaving ? leavingFlag : 0)]

/** @returns the message as arrays that {@link unpackMembership} reads */
export function packMembership (message: MembershipMessage): PackedMembership {
  const packed: PackedMembership = [messageTypes.indexOf(message.type), message.from, message.probe, message.updates.map(packUpdate)]
  if (message.target !== undefined) packed.push(message.target.id, message.target.address)
  return packed
}

/** Highest incarnation that is accepted, in ms since 1970: a later time of day is an error, and no number would precede it. */
export const maxIncarnation = 2 ** 48

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0

const addressPattern = /^.+:([1-9]\d{0,4})$/
const maxPort = 65_535

/** Whether datagrams can be sent to the address: sockets throw on a port that is out of range. */
export const isAddress = (value: unknown): value is string => typeof value === 'string' && Number(addressPattern.exec(value)?.[1]) <= maxPort

function unpackUpdate (value: unknown): MemberUpdate | undefined {
  if (!Array.isArray(value)) return undefined
  const [id, address, incarnation, refutation, flags] = value as unknown[]
  if (typeof id !== 'string' || !isAddress(address) || !isCount(incarnation) || incarnation > maxIncarnation || !isCount(refutation) || !isCount(flags)) return undefined
  const state = memberStates[flags % leavingFlag]
  return state === undefined || flags >= 2 * leavingFlag
    ? undefined
    : { id, address, incarnation, refutation, state, leaving: flags >= leavingFlag }
}

/**
 * @param value - parsed JSON from the network
 * @returns undefined when any part of it is not a membership message
 */
export function unpackMembership (value: unknown): MembershipMessage | undefined {
  if (!Array.isArray(value) || !Array.isArray(value[3])) return undefined
  const [typeNumber, from, probe, , targetId, targetAddress] = value as unknown[]
  const type = isCount(typeNumber) ? messageTypes[typeNumber] : undefined
  const updates = (value[3] as unknown[]).map(unpackUpdate)
  if (type === undefined || typeof from !== 'string' || !isCount(probe) || updates.includes(undefined)) return undefined
  const message: MembershipMessage = { type, from, probe, updates: updates as MemberUpdate[] }
  if (targetId === undefined) return message
  return typeof targetId === 'string' && isAddress(targetAddress)
    ? { ...message, target: { id: targetId, address: targetAddress } }
    : undefined
}
