/**
 * Lock of a folder against other builds in it. Needs no installed package. The holder refreshes the
 * lock, so that one whose process was killed is taken over, also from another process namespace.
 */
import { randomUUID } from 'node:crypto'
import { closeSync, mkdirSync, openSync, readFileSync, renameSync, rmSync, statSync, utimesSync, writeFileSync } from 'node:fs'
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

/** Time between two attempts to get the lock, in ms. */
const retryMs = 100
/** Interval at which the holder refreshes the lock, in ms. */
const refreshMs = 1000
/** Time without a refresh after which a lock counts as left behind, in ms: longer than the first run of the bundler may take, in which it is not refreshed. */
const staleMs = 90_000
/** Shortest time for which a lock is watched before its age counts, in ms: the time of day may have been set forward since its last refresh. */
const watchMs = 3 * refreshMs
/** Time after which a new lock is read again, in ms: a process that has just found a stale one may have removed it. */
const settleMs = 200
/** Longest wait for the lock, in ms; the platform gives a build 15 minutes. */
const maxWaitMs = 12 * 60_000
/** Signals that end a build, which then frees the lock. */
const endingSignals = ['SIGINT', 'SIGTERM', 'SIGHUP']

function readToken (path) {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    if (err.code === 'ENOENT') return undefined
    throw err
  }
}

/** @returns whether the lock was created */
function create (path, token) {
  let file
  try {
    mkdirSync(dirname(path), { recursive: true })
    file = openSync(path, 'wx')
  } catch (err) {
    // The folder may be removed at the same time.
    if (err.code === 'EEXIST' || err.code === 'ENOENT') return false
    throw err
  }
  try {
    writeFileSync(file, token)
    return true
  } catch (err) {
    // Others would wait for a lock that nobody holds.
    rmSync(path, { force: true })
    throw err
  } finally {
    closeSync(file)
  }
}

/**
 * @param {{ ageMs: number, watchedMs: number }} lock - age by the time of day, and time for which this process has seen no refresh
 * @returns {boolean} whether the lock was left behind; its age alone does not show that, since the time of day may be set
 */
function isLeftBehind ({ ageMs, watchedMs }) {
  return watchedMs >= staleMs || (watchedMs >= watchMs && ageMs >= staleMs)
}

/** @returns a function that removes the lock if it was left behind */
function createStaleLockRemoval (path, token) {
  let watched = { refreshedAt: NaN, since: 0 }
  return () => {
    try {
      const { mtimeMs: refreshedAt } = statSync(path)
      if (refreshedAt !== watched.refreshedAt) watched = { refreshedAt, since: performance.now() }
      if (!isLeftBehind({ ageMs: Date.now() - refreshedAt, watchedMs: performance.now() - watched.since })) return
      renameSync(path, `${path}.${token}`)
      rmSync(`${path}.${token}`)
      console.error(`Removed ${path}, which an earlier build left behind`)
    } catch (err) {
      if (err.code !== 'ENOENT') throw err
    }
  }
}

async function acquire (path, token, signal) {
  const endsAt = performance.now() + maxWaitMs
  const removeIfStale = createStaleLockRemoval(path, token)
  for (let told = false; performance.now() < endsAt; await sleep(retryMs)) {
    signal.throwIfAborted()
    if (create(path, token)) {
      await sleep(settleMs)
      if (readToken(path) === token) return
      continue
    }
    removeIfStale()
    if (!told) console.error(`Waiting for another build, which holds ${path}`)
    told = true
  }
  throw new Error(`another build has held ${path} for ${maxWaitMs / 60_000} minutes`)
}

/**
 * Runs a build while no other one holds the lock.
 *
 * @param {string} path - file of the lock
 * @param {(signal: AbortSignal) => Promise<void>} build - ends early, with an error, if the signal is aborted because the lock was lost or the process is to end
 * @throws if the lock is not free in time
 */
export async function withBuildLock (path, build) {
  const token = randomUUID()
  const abort = new AbortController()
  const end = name => { abort.abort(new Error(`ended by ${name}`)) }
  for (const name of endingSignals) process.once(name, end)
  let refresh
  try {
    await acquire(path, token, abort.signal)
    refresh = setInterval(() => {
      try {
        if (readToken(path) === token) utimesSync(path, new Date(), new Date())
        else abort.abort(new Error(`another build took over ${path}`))
      } catch (err) {
        // Thrown in a timer, it would end the process past the end of the build.
        abort.abort(new Error(`${path} cannot be refreshed: ${err.message}`))
      }
    }, refreshMs)
    await build(abort.signal)
  } finally {
    clearInterval(refresh)
    for (const name of endingSignals) process.off(name, end)
    if (readToken(path) === token) rmSync(path)
  }
}
