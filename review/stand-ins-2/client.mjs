/** Stand-in of a client (PROTOCOL, "Ingress" and "Answers"): each request on a connection of its own. */
import { request } from 'node:http'
import { loopback } from './ports.mjs'

/** @returns the status, or 0 without an answer */
export function get (port, path) {
  return new Promise(resolve => {
    const req = request({ host: loopback, port, path, agent: false, timeout: 1000 }, res => {
      res.resume()
      resolve(res.statusCode)
    })
    req.on('timeout', () => req.destroy())
    req.on('error', () => resolve(0))
    req.end()
  })
}

/**
 * @param progress - called with what has arrived of the body each time something arrives
 * @param leaveAfterMs - time after which the client closes its connection, if it leaves early
 * @returns `complete`: the answer ended as HTTP says that a whole one does
 */
export function send ({ port, method = 'POST', path, headers, body = '', deadlineMs, progress = () => {}, leaveAfterMs = Infinity }) {
  return new Promise(resolve => {
    const result = { status: 0, headers: {}, body: '', complete: false }
    const finish = fields => {
      clearTimeout(timer)
      resolve({ ...result, ...fields })
    }
    const req = request({ host: loopback, port, method, path, agent: false, headers: { ...headers, 'deadline-ms': String(deadlineMs), ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }) } }, res => {
      result.status = res.statusCode
      result.headers = res.headers
      res.setEncoding('latin1')
      res.on('data', chunk => {
        result.body += chunk
        progress(result.body)
      })
      res.on('end', () => finish({ complete: res.complete }))
      res.on('error', () => finish({ complete: false }))
    })
    const timer = setTimeout(() => { req.destroy(new Error(leaveAfterMs < deadlineMs ? 'left' : 'deadline')) }, Math.min(leaveAfterMs, deadlineMs))
    req.on('error', err => finish({ error: err.message }))
    req.end(body)
  })
}
