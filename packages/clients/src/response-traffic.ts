/** Counts what arrives from backend servers: a response of many small pieces costs far more than its bytes. */

export type TrafficCounts = {
  /** Parts of bodies, as the parser reports them: one for each chunk within one read. */
  pieces: number
  bodyBytes: number
  /** Everything that was read from the connection, heads and framing included. */
  wireBytes: number
}

/** The response in progress on a connection to a server. */
export type ResponseTraffic = TrafficCounts & { server: string }

/** Counts of one connection, which carries one response at a time. */
export type ConnectionTraffic = {
  read (bytes: number): void
  piece (bytes: number): void
  responseEnded (): void
  /** The response in progress. */
  current: Readonly<TrafficCounts>
  closed (): void
}

export type TrafficMonitor = {
  /** @param server - id */
  connected (server: string): ConnectionTraffic
  /** Counts of all responses since the start of the process. */
  totals (): Readonly<TrafficCounts>
  /** The response in progress with the most pieces, if there is one. */
  mostPieces (): ResponseTraffic | undefined
}

export function createTrafficMonitor (): TrafficMonitor {
  const totals: TrafficCounts = { pieces: 0, bodyBytes: 0, wireBytes: 0 }
  const connections = new Set<ResponseTraffic>()

  return {
    connected (server) {
      const current: ResponseTraffic = { server, pieces: 0, bodyBytes: 0, wireBytes: 0 }
      connections.add(current)
      return {
        current,
        read (bytes) {
          totals.wireBytes += bytes
          current.wireBytes += bytes
        },
        piece (bytes) {
          totals.pieces += 1
          totals.bodyBytes += bytes
          current.pieces += 1
          current.bodyBytes += bytes
        },
        responseEnded () { current.pieces = current.bodyBytes = current.wireBytes = 0 },
        closed () { connections.delete(current) }
      }
    },
    totals: () => totals,
    mostPieces () {
      let most: ResponseTraffic | undefined
      for (const traffic of connections) if (traffic.pieces > (most?.pieces ?? 0)) most = traffic
      return most
    }
  }
}
