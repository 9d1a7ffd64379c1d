/** What one version on an engine has seen. */
export interface VersionStats {
  requests: number;
  /** Requests that a fault of the version struck. */
  faults: number;
  firstRequestAt: number;
  /** Unix time of the last dispatch; 0 before the first. */
  lastRequestAt: number;
  /** Unix time at which the version first misbehaved; 0 before. */
  firstFaultAt: number;
}

/** What an engine has seen since it was started. */
export interface EngineStats {
  readonly requests: number;
  readonly completed: number;
  readonly cancelled: number;
  readonly failed: number;
  readonly suspended: number;
  readonly resumed: number;
  /** Requests sent on connections that had gone silent: no byte of them arrived. */
  readonly swallowed: number;
  /** Ids that were dispatched more than once. */
  readonly doubled: readonly string[];
  readonly prefillTokens: number;
  /** Prefill of requests that were then cancelled or failed. */
  readonly wastedPrefillTokens: number;
  readonly outputTokens: number;
  readonly orders: number;
  /** Orders under an older fencing number than one seen before, by what became of them. */
  readonly staleOrders: { readonly accepted: number; readonly refused: number };
  readonly versions: Readonly<Record<string, VersionStats>>;
}
