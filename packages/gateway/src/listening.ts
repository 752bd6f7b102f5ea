/**
 * Opens the addresses of a node. Another process may use one for a while, for example as the port of an outgoing connection,
 * and the system may lack descriptors or memory for a moment.
 */
import type { Server } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { DecisionLog } from './decision-log'
import type { ListenAddress } from './platform-interface'

/** Interval between attempts to open an address, in ms. */
const retryMs = 250
/** Attempts for each log line about an address that cannot be opened. */
const attemptsPerLine = 20

/** Errors of the system that pass without a change of the settings; an address may be assigned after the start. */
const passingErrors: ReadonlySet<string> = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM', 'EAGAIN', 'EADDRNOTAVAIL'])

/** Why an address could not be opened: `in-use` and `lacking` pass, `permanent` does not. */
export type OpenFailure = 'in-use' | 'lacking' | 'permanent'

/** @param code - error code of the system, such as EMFILE */
export function openFailure (code: string | undefined): OpenFailure {
  if (code === 'EADDRINUSE') return 'in-use'
  return code !== undefined && passingErrors.has(code) ? 'lacking' : 'permanent'
}

const failureEvents = { 'in-use': 'address-in-use', lacking: 'address-unavailable' } as const
const successEvents = { 'in-use': 'address-free', lacking: 'address-available' } as const

export type Listening = {
  /** Resolves when the server listens, or when the node stops. @throws if the address cannot be opened for a reason that does not pass */
  server (server: Server, address: ListenAddress): Promise<void>
  /**
   * The same for anything else that is opened at an address.
   *
   * @param open - rejects with the error of the system
   */
  other (address: ListenAddress, open: () => Promise<void>): Promise<void>
}

/** @param stopped - whether the node stops */
export function createListening ({ log, stopped }: { log: DecisionLog, stopped (): boolean }): Listening {
  async function other ({ host, port }: ListenAddress, open: () => Promise<void>): Promise<void> {
    const address = `${host}:${port}`
    let last: Exclude<OpenFailure, 'permanent'> | undefined
    for (let attempts = 1; !stopped(); attempts++) {
      try {
        await open()
        if (last !== undefined) log.info(successEvents[last], { address, attempts })
        return
      } catch (err) {
        const { code, message } = err as NodeJS.ErrnoException
        const failure = openFailure(code)
        if (failure === 'permanent') throw err
        if (failure !== last || attempts % attemptsPerLine === 1) log.warn(failureEvents[failure], { address, attempts, reason: message })
        last = failure
        await sleep(retryMs)
      }
    }
  }

  function listen (server: Server, { host, port }: ListenAddress): Promise<void> {
    return new Promise((resolve, reject) => {
      const listening = (): void => {
        server.off('error', failed)
        resolve()
      }
      const failed = (err: Error): void => {
        server.off('listening', listening)
        reject(err)
      }
      server.once('error', failed)
      server.once('listening', listening)
      server.listen(port, host)
    })
  }

  return {
    other,
    async server (server, address) {
      await other(address, () => listen(server, address))
      // The system reports here that it could not accept a connection; later ones may succeed.
      server.on('error', err => { log.warn('listener-failed', { address: `${address.host}:${address.port}`, reason: err.message }) })
    }
  }
}
