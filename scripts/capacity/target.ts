const SECONDS_PER_DAY = 86_400;

/** What the system has to carry in about two years, and what an entry may spend on control. */
export const TARGET = {
  entries: 2_000,
  runners: 12_000,
  accelerators: 48_000,
  requestsPerSecond: 61_000,
  tokensPerSecond: 12_000_000,
  accounts: 460,
  models: 21,
  regions: 4,
  failureDomains: 14,
  changesPerSecond: 9_700 / SECONDS_PER_DAY,
  restartsPerSecond: (120 + 3_600) / SECONDS_PER_DAY,
  inForceSeconds: 5,
} as const;

/** What an entry may spend on control. */
export const BUDGET = {
  cpuMsPerSecond: 20,
  memoryMb: 128,
  bytesPerSecond: 4_096,
} as const;

/** The object service's rates and the most that one value may hold. */
export const STORE = {
  writesPerSecond: 300,
  readsPerSecond: 2_000,
  valueBytes: 1_000_000,
} as const;

/** Assumptions that the target leaves open; each is named on the page. */
export const ASSUMPTIONS = {
  /** Time that a request waits for a slot at the peak, seconds. */
  waitSeconds: 1,
  /** Time for which ended ids are remembered, seconds. */
  rememberSeconds: 240,
  /** Endpoints of one cell, were pools divided. */
  endpointsPerCell: 32,
  relaysPerFailureDomain: 2,
  /** Moves under way at a time. */
  movesUnderWay: 21,
  /** Quota requests for each request of an account, batches lent ahead. */
  quotaRequestsPerRequest: 0.1,
} as const;
