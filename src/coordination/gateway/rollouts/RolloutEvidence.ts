import { FailureTest } from './FailureTest.ts';
import { ResponseTimeModel } from './ResponseTimeModel.ts';
import { SharedFaults } from './SharedFaults.ts';
import { SlownessTest } from './SlownessTest.ts';

/** How a request to an endpoint ended, with the time of its end. */
export interface VersionSample {
  readonly route: string;
  readonly endpoint: string;
  readonly isNew: boolean;
  readonly outcome: 'served' | 'failed' | 'broken' | 'cancelled';
  readonly totalMs: number;
  /** Time that an endpoint of mean speed is expected to take, in any unit that stays the same. */
  readonly predictedMs: number;
  /** Whether the endpoint was slow because it had just started. */
  readonly isCold: boolean;
  /** End of the request in ms, monotonic. */
  readonly at: number;
}

/** Why a version is bad. */
export interface VersionFinding {
  readonly kind: 'failures' | 'slowness';
  /** `all requests`, or a route. */
  readonly scope: string;
  /** Log-likelihood ratio of a bad version to a sound one, in units of the threshold. */
  readonly suspicion: number;
  /** Responses of the new version, and how many of them failed, when it was found. */
  readonly responses: number;
  readonly failures: number;
}

/** Numbers of responses. */
export interface ResponseCounts {
  readonly old: number;
  readonly new: number;
  readonly newFailed: number;
}

/**
 * Samples are held back for so long, so that those of different gateways are taken in the order of their ends, and a
 * fault that both versions share is seen at the old one first.
 */
const SETTLING_MS = 300;
const MAXIMUM_HELD_SAMPLES = 20_000;
/** Log-likelihood ratio at which a version counts as slow; docs/design/roll-outs.md has the error rates. */
const SLOW_LOG_RATIO = 11;
/** Suspicion, from 0 to 1, below which a version may get all requests. */
const CALM_SUSPICION = 0.5;
/** Responses of the new version that are needed, and those of each route of which the old version had many. */
const MINIMUM_RESPONSES = 20;
const MINIMUM_ROUTE_RESPONSES = 12;
const BUSY_ROUTE_RESPONSES = 120;
/** A request that was given up counts as slow where it took so many times the expected time. */
const SLOW_CANCELLED_FACTOR = 2;
/** Most routes that are tested by themselves, which bounds the work. */
const MAXIMUM_ROUTES = 32;
const ALL = 'all requests';

interface Scope {
  readonly failures: FailureTest;
  readonly slowness: SlownessTest;
  slowLogRatio: number;
  changed: boolean;
  readonly counts: { old: number; new: number; newFailed: number };
}

/** Evidence on the new version of one service, from the ends of requests at both versions. */
export class RolloutEvidence {
  readonly #isEngine: boolean;

  readonly #times = new ResponseTimeModel();

  readonly #shared = new SharedFaults();

  readonly #scopes = new Map<string, Scope>();

  #held: VersionSample[] = [];

  #finding: VersionFinding | undefined;

  /** @param isEngine - whether the endpoints are model engines, which differ in speed by nature */
  constructor(isEngine: boolean) {
    this.#isEngine = isEngine;
  }

  /** Adds samples, each once, in any order. */
  record(samples: readonly VersionSample[]): void {
    this.#held.push(...samples);
    if (this.#held.length > MAXIMUM_HELD_SAMPLES)
      this.#held = this.#held.slice(-MAXIMUM_HELD_SAMPLES);
  }

  /**
   * Takes the samples whose time has come, and tests.
   *
   * @param now - present time in ms, monotonic
   */
  advance(now: number): void {
    const due = this.#held.filter(({ at }) => now - at >= SETTLING_MS);
    if (due.length === 0) return;
    this.#held = this.#held.filter(({ at }) => now - at < SETTLING_MS);
    // A lost connection to a new endpoint may come shortly before one to an old endpoint by the same fault.
    [...due, ...this.#held]
      .filter(({ isNew }) => !isNew)
      .forEach(({ endpoint, outcome, at }) =>
        this.#shared.recordOld(endpoint, outcome === 'broken', at),
      );
    due.sort((a, b) => a.at - b.at).forEach((sample) => this.#take(sample));
    this.#testTimes();
  }

  /** The first fault that was found; undefined while there is none. */
  get finding(): VersionFinding | undefined {
    return this.#finding;
  }

  /** Responses so far, of all routes. */
  get counts(): ResponseCounts {
    return this.#scopes.get(ALL)?.counts ?? { old: 0, new: 0, newFailed: 0 };
  }

  /** Responses so far of both versions, by route. */
  countsByRoute(): ReadonlyMap<string, ResponseCounts> {
    return new Map(
      [...this.#scopes]
        .filter(([name]) => name !== ALL)
        .map(([name, { counts }]) => [name, counts]),
    );
  }

  /** Returns what is missing before the new version may get all requests; undefined if nothing is. */
  missing(): string | undefined {
    const { counts } = this;
    if (counts.new < MINIMUM_RESPONSES) return `${counts.new} of ${MINIMUM_RESPONSES} responses`;
    const unseen = [...this.countsByRoute()].find(
      ([, route]) => route.old >= BUSY_ROUTE_RESPONSES && route.new < MINIMUM_ROUTE_RESPONSES,
    );
    if (unseen !== undefined)
      return `${unseen[1].new} of ${MINIMUM_ROUTE_RESPONSES} responses of route "${unseen[0]}"`;
    const suspect = [...this.#scopes].find(
      ([, { failures, slowLogRatio }]) =>
        Math.max(failures.suspicion, slowLogRatio / SLOW_LOG_RATIO) >= CALM_SUSPICION,
    );
    return suspect === undefined ? undefined : `suspicion in ${suspect[0]}`;
  }

  #take(sample: VersionSample): void {
    const { route, isNew, outcome } = sample;
    const scopes = [ALL, route].flatMap((name) => this.#scopeOf(name) ?? []);
    if (this.#countsAsOutcome(sample)) {
      const failed = outcome !== 'served';
      scopes.forEach((scope) => {
        const { counts, failures } = scope;
        if (isNew) {
          counts.new += 1;
          if (failed) counts.newFailed += 1;
          failures.addNew(failed);
        } else {
          counts.old += 1;
          failures.addOld(failed);
        }
      });
      if (isNew && failed) this.#testFailures();
    }
    if (outcome === 'served' || outcome === 'cancelled') this.#addTime(sample, scopes);
  }

  #countsAsOutcome({ endpoint, outcome, at, isNew }: VersionSample): boolean {
    switch (outcome) {
      case 'served':
      case 'failed':
        return true;
      case 'broken':
        return this.#shared.countsAsFailure(endpoint, at, isNew);
      case 'cancelled':
        return false;
      default:
        return outcome satisfies never;
    }
  }

  #addTime(sample: VersionSample, scopes: readonly Scope[]): void {
    const { route, endpoint, isNew, outcome, totalMs, predictedMs, isCold } = sample;
    if (isCold) return;
    const logRatio = Math.log(Math.max(1, totalMs) / Math.max(1e-3, predictedMs));
    if (!isNew) {
      if (outcome === 'served') this.#times.add(route, endpoint, logRatio);
      return;
    }
    const comparison = this.#times.compare(route, logRatio);
    if (comparison === undefined) return;
    if (outcome === 'cancelled' && comparison.excess < Math.log(SLOW_CANCELLED_FACTOR)) return;
    scopes.forEach((entry) => {
      const scope = entry;
      scope.slowness.add(endpoint, comparison);
      scope.changed = true;
    });
  }

  #testFailures(): void {
    this.#scopes.forEach(({ failures }, name) => {
      if (failures.suspicion >= 1) this.#find('failures', name, failures.suspicion);
    });
  }

  #testTimes(): void {
    const offsets = this.#times.listOffsets();
    this.#scopes.forEach((entry, name) => {
      const scope = entry;
      if (!scope.changed) return;
      scope.changed = false;
      scope.slowLogRatio = scope.slowness.logRatio(offsets);
      if (scope.slowLogRatio >= SLOW_LOG_RATIO)
        this.#find('slowness', name, scope.slowLogRatio / SLOW_LOG_RATIO);
    });
  }

  #find(kind: VersionFinding['kind'], scope: string, suspicion: number): void {
    const { new: responses, newFailed: failures } = this.counts;
    this.#finding ??= { kind, scope, suspicion, responses, failures };
  }

  #scopeOf(name: string): Scope | undefined {
    const known = this.#scopes.get(name);
    if (known !== undefined || this.#scopes.size > MAXIMUM_ROUTES) return known;
    const scope: Scope = {
      failures: new FailureTest(),
      slowness: new SlownessTest(this.#isEngine),
      slowLogRatio: 0,
      changed: false,
      counts: { old: 0, new: 0, newFailed: 0 },
    };
    this.#scopes.set(name, scope);
    return scope;
  }
}
