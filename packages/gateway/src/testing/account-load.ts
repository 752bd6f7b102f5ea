/** Load of client accounts on engines with few adapter slots, and what the accounts and classes get of it. */
import { simulateLoad, type SimulatedLoad, type SimulationResult } from './load-simulation'

/** Long reviews and drafts, and short queries with long responses, for far more adapters than adapter slots. Rates are those at which the engines serve almost all. */
export const accountLoad: SimulatedLoad = {
  seed: 1,
  seconds: 12,
  zones: ['a', 'b'],
  enginesPerZone: 10,
  ownersPerZone: 1,
  adapterSlots: 8,
  adapters: 5000,
  skew: 1.2,
  fullSpeedColdLoads: 16,
  coldLoadMs: 288,
  statusIntervalMs: 250,
  sendsPauseLimit: true,
  accounts: { count: 16, skew: 1.2 },
  classes: [
    { name: 'review', perSecond: 14, sharedParts: [{ tokens: 2520, texts: 3 }, { tokens: 3780, texts: 57 }], ownTokens: 2890, outputTokens: 50, priority: 1, objectiveMs: 1000, deadlineMs: 6000, worth: 2, lateWorth: 0.6 },
    { name: 'draft', perSecond: 10, sharedParts: [{ tokens: 2520, texts: 3 }, { tokens: 3780, texts: 57 }], ownTokens: 2890, outputTokens: 50, priority: 2, objectiveMs: 2000, deadlineMs: 8000, worth: 1, lateWorth: 0.3 },
    { name: 'query', perSecond: 36, sharedParts: [{ tokens: 200, texts: 30 }], ownTokens: 626, outputTokens: 290, priority: 0, objectiveMs: 800, deadlineMs: 15_000, worth: 1, lateWorth: 0.3 }
  ]
}

export type LoadSummary = {
  /** Share of each account's requests that got a complete response, by account. */
  servedShares: number[]
  servedShare: number
  onTimeShare: number
  worthShare: number
  /** Share of each class's requests that got a complete response. */
  classShares: Record<string, number>
  retries: SimulationResult['retries']
  /** @returns share of the requests of all accounts but one that got a complete response */
  othersShare (account: number): number
}

/** @param factor - multiple of the usual rate of all accounts */
export function simulateAccounts (factor: number, flood?: { account: number, factor: number }, overrides: Partial<SimulatedLoad> = {}): LoadSummary {
  const { classes, accounts, worthShare, retries } = simulateLoad({
    ...accountLoad,
    classes: accountLoad.classes.map(cls => ({ ...cls, perSecond: cls.perSecond * factor })),
    accounts: { ...accountLoad.accounts!, ...(flood === undefined ? {} : { flood }) },
    ...overrides
  })
  const sum = (value: (account: typeof accounts[number]) => number, except = -1): number => accounts.reduce((total, account, index) => index === except ? total : total + value(account), 0)
  const submitted = sum(account => account.submitted)
  return {
    servedShares: accounts.map(account => account.served / account.submitted),
    servedShare: sum(({ served }) => served) / submitted,
    onTimeShare: sum(({ onTime }) => onTime) / submitted,
    worthShare,
    classShares: Object.fromEntries(Object.entries(classes).map(([name, entry]) => [name, (entry.onTime + entry.late) / entry.submitted])),
    retries,
    othersShare: account => sum(({ served }) => served, account) / sum(({ submitted }) => submitted, account)
  }
}
