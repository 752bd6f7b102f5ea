/** A node's link to one server. It passes bytes on in both directions until it is cut; a cut link takes no new connections. */
import { connect, createServer } from 'node:net'
import { listen } from './ports.mjs'

export async function startLink (target) {
  const [host, port] = target.split(':')
  const open = new Set()
  let opened = 0
  let cut = false

  function accept (near) {
    opened += 1
    const far = connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true })
    const pair = { near, far }
    open.add(pair)
    near.setNoDelay(true)
    near.pipe(far)
    far.pipe(near)
    const reset = () => {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
    near.on('error', reset)
    far.on('error', reset)
    const closed = () => {
      if (near.destroyed && far.destroyed) open.delete(pair)
      // The rest is passed on before the other side is closed.
      else if (near.destroyed) far.end()
    }
    near.on('close', closed)
    far.on('close', closed)
  }

  const server = createServer({ allowHalfOpen: true }, accept)
  const address = await listen(server)
  const { port: ownPort } = server.address()

  return {
    address,
    target,
    opened: () => opened,
    /** Number of connections that are open now. */
    open: () => open.size,
    /** Refuses new connections, and resets those that are open. */
    async cut () {
      cut = true
      const closed = new Promise(resolve => { server.close(resolve) })
      for (const { near, far } of open) {
        near.resetAndDestroy()
        far.resetAndDestroy()
      }
      await closed
    },
    async heal () {
      if (!cut) return
      cut = false
      await listen(server, ownPort)
    },
    stop () {
      for (const { near, far } of open) {
        near.destroy()
        far.destroy()
      }
      server.close()
    }
  }
}
