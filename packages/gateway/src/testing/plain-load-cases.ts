/** Loads of plain services that the choice of a server is measured with; docs/accounts-and-load.md has their origin. */
import type { PlainLoadCase, PlainLoadResult } from './plain-load-model'

const threeZones = { a: 0.42, b: 0.33, c: 0.25 }
const fourZones = { a: 0.34, b: 0.27, c: 0.22, d: 0.17 }
const threeServers = [{ zone: 'a' }, { zone: 'b' }, { zone: 'c' }]
const fourServers = [{ zone: 'a' }, { zone: 'b' }, { zone: 'c' }, { zone: 'd' }]

const three: PlainLoadCase = { nodes: 74, servers: threeServers, zones: threeZones, requestsPerSecond: 73, serviceMs: 85.7, dueMs: 390 }
const four: PlainLoadCase = { nodes: 66, servers: fourServers, zones: fourZones, requestsPerSecond: 51, serviceMs: 42.9, dueMs: 200, slowPeriods: true }
const burst = { ...three, burst: 2.6 }

export const cases = {
  'three servers': three,
  'burst of 1.7': { ...three, burst: 1.7 },
  'burst of 3': { ...three, burst: 3 },
  'slow periods': four,
  'burst with slow periods': { ...four, burst: 3 },
  '6 nodes': { ...burst, nodes: 6 },
  '400 nodes': { ...burst, nodes: 400 },
  'two servers in one zone': { ...burst, servers: [{ zone: 'a' }, { zone: 'a' }, { zone: 'b' }] },
  'unlike speeds': { ...three, burst: 1.9, servers: [{ zone: 'a', speed: 0.55 }, { zone: 'b', speed: 1.2 }, { zone: 'c', speed: 1.2 }] },
  'added server': { ...three, burst: 3.4, servers: [...threeServers, { zone: 'a', from: 45_000 }] },
  'restarted server': { ...burst, servers: [{ zone: 'a' }, { zone: 'b', restartAt: 45_000 }, { zone: 'c' }] },
  'measurements 1 s old': { ...burst, measurementAgeMs: 1000 },
  'measurements 3 s old': { ...burst, measurementAgeMs: 3000 }
} satisfies Record<string, PlainLoadCase>

/** What the earlier choice (fewest own requests in progress, two in favour of the own zone) got in each case, as means of six plays. */
export const earlierChoice: Readonly<Record<keyof typeof cases, Omit<PlainLoadResult, 'newConnections' | 'crossZone'>>> = {
  'three servers': { largestOverMean: 1.2902, needlessRefusals: 0, needlessWaits: 0.0301, served: 1, onTime: 1, firstTry: 1, sendings: 1 },
  'burst of 1.7': { largestOverMean: 1.281, needlessRefusals: 0, needlessWaits: 0.1163, served: 1, onTime: 1, firstTry: 1, sendings: 1 },
  'burst of 3': { largestOverMean: 1.2336, needlessRefusals: 0.0278, needlessWaits: 0.0267, served: 0.9696, onTime: 0.7428, firstTry: 0.9266, sendings: 1.0518 },
  'slow periods': { largestOverMean: 1.43, needlessRefusals: 0, needlessWaits: 0.0013, served: 1, onTime: 1, firstTry: 1, sendings: 1 },
  'burst with slow periods': { largestOverMean: 1.4005, needlessRefusals: 0, needlessWaits: 0.0335, served: 1, onTime: 0.9982, firstTry: 1, sendings: 1 },
  '6 nodes': { largestOverMean: 1.2832, needlessRefusals: 0, needlessWaits: 0.1517, served: 1, onTime: 1, firstTry: 1, sendings: 1 },
  '400 nodes': { largestOverMean: 1.2532, needlessRefusals: 0.2278, needlessWaits: 0.2267, served: 0.999, onTime: 0.8872, firstTry: 0.9725, sendings: 1.0273 },
  'two servers in one zone': { largestOverMean: 1.2173, needlessRefusals: 0.0074, needlessWaits: 0.2082, served: 1, onTime: 0.9945, firstTry: 0.9995, sendings: 1.0005 },
  'unlike speeds': { largestOverMean: 1.725, needlessRefusals: 0.0111, needlessWaits: 0.2243, served: 1, onTime: 0.9861, firstTry: 0.9994, sendings: 1.0006 },
  'added server': { largestOverMean: 1.3089, needlessRefusals: 0.0352, needlessWaits: 0.1651, served: 0.9546, onTime: 0.7835, firstTry: 0.9259, sendings: 1.0407 },
  'restarted server': { largestOverMean: 1.2359, needlessRefusals: 0.0315, needlessWaits: 0.2094, served: 0.9994, onTime: 0.9807, firstTry: 0.9968, sendings: 1.0026 },
  'measurements 1 s old': { largestOverMean: 1.1781, needlessRefusals: 0.0056, needlessWaits: 0.1909, served: 1, onTime: 0.9963, firstTry: 0.9998, sendings: 1.0002 },
  'measurements 3 s old': { largestOverMean: 1.1518, needlessRefusals: 0.0019, needlessWaits: 0.18, served: 1, onTime: 0.9984, firstTry: 0.9998, sendings: 1.0002 }
}
