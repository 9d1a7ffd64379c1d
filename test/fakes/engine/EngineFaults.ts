/** How one version misbehaves, and where. */
export interface VersionFault {
  readonly kind: 'fail' | 'fail_after' | 'slow' | 'slow_under_load' | 'cut' | 'crash_on_load';
  /** For `fail_after`: requests that still go well. */
  readonly after?: number;
  /** For the slow kinds: how many times longer the version takes. */
  readonly factor?: number;
  /** Only requests of this route (`metadata.route` of the body) are hit. */
  readonly route?: string;
  /** Only engines in this failure domain are hit. */
  readonly failureDomain?: string;
}

/** What goes wrong at an engine; all of it can be changed while it runs. */
export interface EngineFaults {
  /** Share of its usual speed at which the engine works. */
  speedFactor: number;
  /** Time that each message takes on its way, in each direction. */
  networkDelayMs: number;
  /** New connections are closed at once. */
  refuse: boolean;
  /** The next so many answers go silent after their first bytes, on a connection that stays open. */
  silenceNext: number;
  /** The next so many answers carry another request's id and text. */
  crossNext: number;
  /** The next so many answers are cut halfway. */
  cutNext: number;
  /** The next so many answers end without their end mark. */
  truncateNext: number;
  loadLagMs: number;
  cacheLagMs: number;
  /** Share of cache events that never show. */
  cacheGapShare: number;
  versions: Readonly<Record<string, VersionFault>>;
}

/** An engine that works as it should. */
export const NO_FAULTS: EngineFaults = {
  speedFactor: 1,
  networkDelayMs: 0,
  refuse: false,
  silenceNext: 0,
  crossNext: 0,
  cutNext: 0,
  truncateNext: 0,
  loadLagMs: 300,
  cacheLagMs: 300,
  cacheGapShare: 0.1,
  versions: {},
};
