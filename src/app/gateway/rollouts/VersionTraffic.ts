import type {
  RolloutReport,
  VersionCount,
  VersionObservation,
} from '../../../protocol/peer/RolloutMessages.ts';

/** Observations that are kept for a new driver, and for how long. */
const RETAINED_OBSERVATIONS = 512;
const RETENTION_MS = 30_000;
/** Most observations of one service in one report; the rest follows with the next one. */
const MAXIMUM_REPORTED = 256;

/** Unreported observations from which only the newest are kept, which bounds memory and messages. */
const MAXIMUM_UNSENT = 4_096;

interface Observed {
  readonly service: string;
  readonly observation: Omit<VersionObservation, 'ageMs'>;
  readonly at: number;
}

interface VersionState {
  sent: number;
  running: number;
}

/** What this process has sent to the versions of services, and how it ended. */
export class VersionTraffic {
  readonly #versions = new Map<string, Map<string, VersionState>>();

  #unsent: Observed[] = [];

  #retained: Observed[] = [];

  #number = 0;

  /** Counts a request that is sent to a version. */
  recordStart(service: string, version: string): void {
    const state = this.#stateOf(service, version);
    state.sent += 1;
    state.running += 1;
  }

  /** Counts that a request to a version has ended. */
  recordEnd(service: string, version: string): void {
    const state = this.#stateOf(service, version);
    state.running = Math.max(0, state.running - 1);
  }

  /** Counts the requests to a service from now on, because an order has begun. */
  restartCounts(service: string): void {
    this.#versions.get(service)?.forEach((entry) => {
      const state = entry;
      state.sent = 0;
    });
  }

  /** Adds an observation that is to be reported. */
  observe(
    service: string,
    observation: Omit<VersionObservation, 'ageMs' | 'number'>,
    at: number,
  ): void {
    this.#number += 1;
    const observed = { service, observation: { ...observation, number: this.#number }, at };
    this.#unsent.push(observed);
    if (this.#unsent.length > MAXIMUM_UNSENT) this.#unsent = this.#unsent.slice(-MAXIMUM_REPORTED);
    this.#retained.push(observed);
    if (this.#retained.length > 2 * RETAINED_OBSERVATIONS)
      this.#retained = this.#retained.slice(-RETAINED_OBSERVATIONS);
  }

  /** Reports the retained observations again, because another gateway drives from now on. */
  resend(now: number): void {
    this.#unsent = this.#retained
      .slice(-RETAINED_OBSERVATIONS)
      .filter(({ at }) => now - at < RETENTION_MS);
  }

  /**
   * Takes what is to be reported of a service.
   *
   * @param service - the service
   * @param now - present time in ms, monotonic
   */
  take(service: string, now: number): Pick<RolloutReport, 'service' | 'counts' | 'observations'> {
    const own = this.#unsent.filter((observed) => observed.service === service);
    const reported = own.slice(0, MAXIMUM_REPORTED);
    const isReported = new Set(reported);
    this.#unsent = this.#unsent.filter((observed) => !isReported.has(observed));
    return {
      service,
      counts: this.countsOf(service),
      observations: reported.map(({ observation, at }) => ({ ...observation, ageMs: now - at })),
    };
  }

  /** Forgets the observations of services that have one version only, and versions to which nothing runs. */
  retain(mixedServices: ReadonlySet<string>): void {
    const isMixed = ({ service }: Observed): boolean => mixedServices.has(service);
    this.#unsent = this.#unsent.filter(isMixed);
    this.#retained = this.#retained.filter(isMixed);
    this.#versions.forEach((versions, service) => {
      if (mixedServices.has(service)) return;
      versions.forEach((entry, version) => {
        const state = entry;
        state.sent = 0;
        if (state.running === 0) versions.delete(version);
      });
    });
  }

  /** Returns the requests sent to each version of a service. */
  countsOf(service: string): VersionCount[] {
    return [...(this.#versions.get(service) ?? [])].map(([version, { sent, running }]) => ({
      version,
      sent,
      running,
    }));
  }

  #stateOf(service: string, version: string): VersionState {
    const versions = this.#versions.get(service) ?? new Map<string, VersionState>();
    this.#versions.set(service, versions);
    const state = versions.get(version) ?? { sent: 0, running: 0 };
    versions.set(version, state);
    return state;
  }
}
