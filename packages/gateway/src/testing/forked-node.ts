/** Starts a node with its in-memory platform in a process of its own. */
import { fork } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { NodeProcessCommand, NodeProcessReply } from './node-process'

export type ForkedNode = {
  /** Port at which the node accepts requests of clients. */
  front: number
  command (message: NodeProcessCommand): void
  /** Resolves with the next reply of the type. @throws if the process ends before */
  replied<Type extends NodeProcessReply['type']> (type: Type): Promise<NodeProcessReply & { type: Type }>
  stop (): Promise<void>
}

/** @param flags - of Node.js */
export async function forkNode (flags: string[] = []): Promise<ForkedNode> {
  const child = fork(fileURLToPath(new URL('node-process.ts', import.meta.url)), { execArgv: [...flags, '--import', 'tsx'] })

  function replied<Type extends NodeProcessReply['type']> (type: Type): Promise<NodeProcessReply & { type: Type }> {
    return new Promise((resolve, reject) => {
      const onExit = (code: number | null): void => { settle(() => { reject(new Error(`the node has ended with ${code}`)) }) }
      const onError = (err: Error): void => { settle(() => { reject(err) }) }
      const onMessage = (message: NodeProcessReply): void => {
        if (message.type === type) settle(() => { resolve(message as NodeProcessReply & { type: Type }) })
      }
      function settle (finish: () => void): void {
        child.off('error', onError).off('exit', onExit).off('message', onMessage)
        finish()
      }
      child.on('error', onError).on('exit', onExit).on('message', onMessage)
    })
  }

  const command = (message: NodeProcessCommand): void => { child.send(message) }
  const { front } = await replied('started')
  return {
    front,
    command,
    replied,
    async stop () {
      const stopped = replied('stopped')
      command({ type: 'stop' })
      await stopped
    }
  }
}
