/** Child processes of the path benchmark. The product itself starts no process. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

export type BenchProcess = {
  child: ChildProcess
  /** First line that the process wrote. */
  firstLine: string
  /** CPU time so far, in seconds. */
  cpuSeconds (): number
  stop (): Promise<void>
}

/** Linux reports CPU times in ticks of 10 ms. */
const ticksPerSecond = 100
const stopTimeoutMs = 10_000

function cpuSecondsOf (pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  // The name in parentheses may contain spaces; user and system time are the 12th and 13th field after it.
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[11]) + Number(fields[12])) / ticksPerSecond
}

/** @param script path relative to this file @param waitForLine whether the process writes a line when it is ready */
export async function startProcess (script: string, args: string[], waitForLine: boolean, nodeArgs: string[] = []): Promise<BenchProcess> {
  const path = fileURLToPath(new URL(script, import.meta.url))
  const child = spawn(process.execPath, ['--import', 'tsx', ...nodeArgs, path, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  let output = ''
  child.stdout?.on('data', (chunk: Buffer) => { output += chunk.toString() })
  const ready = (): boolean => !waitForLine || output.includes('\n')
  while (!ready()) {
    if (child.exitCode !== null) throw new Error(`${script} ended with code ${child.exitCode}`)
    await pause(10)
  }
  // Child processes must not outlive an interrupted benchmark.
  process.once('exit', () => child.kill('SIGKILL'))
  return {
    child,
    firstLine: output.split('\n')[0] ?? '',
    cpuSeconds: () => cpuSecondsOf(child.pid as number),
    async stop () {
      if (child.exitCode !== null) return
      const ended = once(child, 'exit')
      child.kill('SIGTERM')
      const timer = setTimeout(() => child.kill('SIGKILL'), stopTimeoutMs)
      await ended
      clearTimeout(timer)
    }
  }
}

/** Starts `yuccawharf node` with the settings. */
export async function startNodeProcess (settings: string, nodeArgs: string[] = []): Promise<BenchProcess> {
  const directory = mkdtempSync(join(tmpdir(), 'yuccawharf-bench-'))
  const file = join(directory, 'node.toml')
  writeFileSync(file, settings)
  const running = await startProcess('../../cli/src/main.ts', ['node', '--settings', file], false, nodeArgs)
  running.child.once('exit', () => rmSync(directory, { recursive: true, force: true }))
  return running
}

type Status = { node: string, engines: { owner: string | null }[] }

/** Waits until the node responds and the engine has an owner. @returns the owner */
export async function waitForOwner (url: string, timeoutMs = 30_000): Promise<string> {
  const startedAt = performance.now()
  while (performance.now() - startedAt < timeoutMs) {
    const status = await fetch(`${url}/admin/status`).then(async res => await res.json() as Status, () => undefined)
    const owner = status?.engines[0]?.owner
    if (owner !== undefined && owner !== null) return owner
    await pause(100)
  }
  throw new Error(`the engine has no owner after ${timeoutMs} ms`)
}
