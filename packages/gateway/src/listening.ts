/** Opens the addresses of a node. Another process may use one for a while, for example as the port of an outgoing connection. */
import type { Server } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { DecisionLog } from './decision-log'
import type { ListenAddress } from './platform-interface'

/** Interval between attempts to open an address that is in use, in ms. */
const retryMs = 250
/** Attempts for each log line about an address that is in use. */
const attemptsPerLine = 20

export type Listening = {
  /** Resolves when the server listens, or when the node stops. @throws if the address cannot be used for another reason than that it is in use */
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
    for (let attempts = 1; !stopped(); attempts++) {
      try {
        await open()
        if (attempts > 1) log.info('address-free', { address: `${host}:${port}`, attempts })
        return
      } catch (err) {
        if ((err as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw err
        if (attempts % attemptsPerLine === 1) log.warn('address-in-use', { address: `${host}:${port}`, attempts })
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
