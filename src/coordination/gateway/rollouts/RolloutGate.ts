import type { RolloutStep } from '../../../protocol/peer/RolloutMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { CandidateFilter, FilteredRequest, VersionedEndpoint } from './CandidateFilter.ts';

/**
 * Time after its receipt for which a step permits requests to the new version, and its largest part of the time in
 * which a bad version must have got its last request: a gateway that is cut off from the driver learns of nothing.
 */
const STEP_VALIDITY_MS = 1_500;
const STEP_VALIDITY_PART = 0.3;
/**
 * Time without any step after which a second version is used as if there were no order. A scheduler that
 * drives roll-outs sends a step within a second; one of an older build never does.
 */
const NO_DRIVER_MS = 5_000;

/**
 * Time for which a version must have been the only one to count as the one that serves. A gateway that has just
 * started may receive the endpoints one by one, and takes the version of the one that started first.
 */
const SETTLED_MS = 5_000;

/** What the gate permits to a version now. */
type Permission =
  | { readonly _tag: 'every' }
  /** Requests whose draw is below the share go to new versions, others to old ones. */
  | { readonly _tag: 'share'; readonly share: number }
  | { readonly _tag: 'newOnly' };

interface ServiceState {
  versions: ReadonlySet<string>;
  /** Version that served alone before, or that started first. */
  base: string | undefined;
  /** When the only version was first seen, in ms. */
  aloneSince: number;
  mixedSince: number | undefined;
  step: RolloutStep | undefined;
  heardAt: number;
  readonly condemned: Set<string>;
}

/** Part of an old endpoint's load that each endpoint of a trial gets. */
const TRIAL_LOAD = 1;
const MINIMUM_TRIAL_ENDPOINTS = 2;
/** Time after which other endpoints take their turn in a trial. */
const TURN_MS = 2_000;

/**
 * Selects the few new endpoints that a trial uses now, so that each has about the load of an old one: some versions
 * are bad only under load. All take their turns.
 */
const selectTrialEndpoints = <T>(
  fresh: readonly T[],
  oldCount: number,
  share: number,
  now: number,
): readonly T[] => {
  const count = Math.max(
    MINIMUM_TRIAL_ENDPOINTS,
    Math.ceil((oldCount * share) / (1 - share) / TRIAL_LOAD),
  );
  if (share >= 1 || count >= fresh.length) return fresh;
  const start = Math.floor(now / TURN_MS) * count;
  return Array.from({ length: count }, (_, index) => fresh[(start + index) % fresh.length]).filter(
    (endpoint) => endpoint !== undefined,
  );
};

const NOTHING = { _tag: 'share', share: 0 } as const;

/** Returns the version of the endpoint that started first; of equals, the given one. */
const oldestVersion = (
  records: readonly EndpointRecord[],
  preferred: string | undefined,
): string | undefined => {
  const firstStart = Math.min(...records.map(({ bornAt }) => bornAt));
  const oldest = records.filter(({ bornAt }) => bornAt === firstStart);
  return (oldest.find(({ version }) => version === preferred) ?? oldest[0])?.version;
};

/** Returns a test of versions: the target of the order, or all but the one that served before. */
const newcomerTest = ({ step, base }: ServiceState): ((version: string) => boolean) => {
  const target = step !== undefined && 'target' in step ? step.target : undefined;
  return target === undefined ? (version) => version !== base : (version) => version === target;
};

/** @param route - the route; undefined for the largest share of any */
const permissionOf = (
  { mixedSince, step, heardAt }: ServiceState,
  route: string | undefined,
  { now, validityMs }: { readonly now: number; readonly validityMs: number },
): Permission => {
  if (mixedSince === undefined) return { _tag: 'every' };
  if (step === undefined) return now - mixedSince > NO_DRIVER_MS ? { _tag: 'every' } : NOTHING;
  // Final states don't expire, because nothing reverses them. What holds without an order doesn't either: a release
  // that replaces endpoints goes on while the scheduler changes.
  if (step._tag === 'completed') return { _tag: 'newOnly' };
  if (step._tag === 'unordered') return { _tag: 'every' };
  if (step._tag === 'rolledBack' || now - heardAt > validityMs) return NOTHING;
  switch (step._tag) {
    case 'unread':
      return { _tag: 'share', share: step.share };
    case 'cutover':
      return { _tag: 'newOnly' };
    case 'trial': {
      const listed = step.routeShares.find((entry) => entry.route === route);
      const share =
        route === undefined
          ? Math.max(step.share, ...step.routeShares.map((entry) => entry.share))
          : (listed?.share ?? step.share);
      return { _tag: 'share', share };
    }
    default:
      return step satisfies never;
  }
};

/**
 * Keeps requests within what the driver of a roll-out permits. While a service has ready endpoints of two
 * versions, a new version gets requests only by a step of the driver that hasn't expired. A version that was
 * found bad gets none until its endpoints are gone.
 */
export class RolloutGate implements CandidateFilter {
  readonly #isEnabled: boolean;

  readonly #validityMs: number;

  readonly #services = new Map<string, ServiceState>();

  /**
   * @param rollbackMs - time after its 50th bad response from which a bad version may get no requests; undefined where
   *   the deployment has no roll-outs, so that every endpoint is used
   */
  constructor(rollbackMs: number | undefined) {
    this.#isEnabled = rollbackMs !== undefined;
    this.#validityMs = Math.min(STEP_VALIDITY_MS, STEP_VALIDITY_PART * (rollbackMs ?? 0));
  }

  /**
   * Follows the versions of the ready endpoints.
   *
   * @param records - all ready endpoints of all services
   * @param now - present time in ms, monotonic
   */
  observe(records: readonly EndpointRecord[], now: number): void {
    if (!this.#isEnabled) return;
    const byService = new Map<string, EndpointRecord[]>();
    records.forEach((record) => {
      const known = byService.get(record.service);
      if (known === undefined) byService.set(record.service, [record]);
      else known.push(record);
    });
    this.#services.forEach((_, service) => {
      if (!byService.has(service)) byService.set(service, []);
    });
    byService.forEach((ready, service) => this.#observeService(service, ready, now));
  }

  /** Services with ready endpoints of two versions. */
  get mixedServices(): readonly string[] {
    return [...this.#services]
      .filter(([, { mixedSince }]) => mixedSince !== undefined)
      .map(([service]) => service);
  }

  /** Returns since when a service has two versions, in ms; undefined if it has one. */
  mixedSince(service: string): number | undefined {
    return this.#services.get(service)?.mixedSince;
  }

  /** Returns the version that served before a second one appeared. */
  baseVersion(service: string): string | undefined {
    return this.#services.get(service)?.base;
  }

  /** Returns the last step for a service, and its age in ms; undefined before the first one. */
  stepOf(
    service: string,
    now: number,
  ): { readonly step: RolloutStep; readonly ageMs: number } | undefined {
    const state = this.#services.get(service);
    return state?.step === undefined ? undefined : { step: state.step, ageMs: now - state.heardAt };
  }

  /** Returns the versions of a service that were found bad. */
  condemnedVersions(service: string): readonly string[] {
    return [...(this.#services.get(service)?.condemned ?? [])];
  }

  /**
   * Puts a step of the driver in force.
   *
   * @param step - the step
   * @param now - present time in ms, monotonic
   * @returns whether another kind of step, or another target, was in force before
   */
  apply(step: RolloutStep, now: number): boolean {
    if (!this.#isEnabled) return false;
    const state = this.#stateOf(step.service);
    const before = state.step;
    state.step = step;
    state.heardAt = now;
    if (step._tag === 'rolledBack') state.condemned.add(step.target);
    // A write of `completed` may have taken effect although its driver judged the version bad before it knew.
    if (step._tag === 'completed') state.condemned.delete(step.target);
    return before?._tag !== step._tag;
  }

  select<T>(
    { service, route, draw }: FilteredRequest,
    candidates: readonly T[],
    recordOf: (candidate: T) => VersionedEndpoint,
    now: number,
  ): readonly T[] {
    const state = this.#services.get(service);
    if (state === undefined) return candidates;
    const allowed =
      state.condemned.size === 0
        ? candidates
        : candidates.filter((candidate) => !state.condemned.has(recordOf(candidate).version));
    const permission = permissionOf(state, route, { now, validityMs: this.#validityMs });
    if (permission._tag === 'every') return allowed;
    const isNew = newcomerTest(state);
    const fresh = allowed.filter((candidate) => isNew(recordOf(candidate).version));
    const old = allowed.filter((candidate) => !isNew(recordOf(candidate).version));
    if (permission._tag === 'newOnly') return fresh.length > 0 ? fresh : old;
    return draw < permission.share && fresh.length > 0
      ? selectTrialEndpoints(fresh, old.length, permission.share, now)
      : old;
  }

  partition<T>(
    service: string,
    endpoints: readonly T[],
    recordOf: (endpoint: T) => VersionedEndpoint,
  ): readonly (readonly T[])[] {
    const state = this.#services.get(service);
    if (state?.mixedSince === undefined) return [endpoints];
    const isNew = newcomerTest(state);
    return [true, false].map((fresh) =>
      endpoints.filter((endpoint) => isNew(recordOf(endpoint).version) === fresh),
    );
  }

  /**
   * Whether a request may be sent to an endpoint that was selected earlier.
   *
   * @param record - the endpoint
   * @param now - present time in ms, monotonic
   */
  maySend({ service, version }: VersionedEndpoint, now: number): boolean {
    const state = this.#services.get(service);
    if (state === undefined) return true;
    if (state.condemned.has(version)) return false;
    const permission = permissionOf(state, undefined, { now, validityMs: this.#validityMs });
    return permission._tag !== 'share' || permission.share > 0 || !newcomerTest(state)(version);
  }

  #observeService(service: string, ready: readonly EndpointRecord[], now: number): void {
    const versions = new Set(ready.map(({ version }) => version));
    const state = this.#stateOf(service);
    state.versions = versions;
    state.condemned.forEach((version) => {
      if (!versions.has(version)) state.condemned.delete(version);
    });
    if (versions.size > 1) {
      const isSettled = state.mixedSince !== undefined || now - state.aloneSince >= SETTLED_MS;
      if (state.base === undefined || !versions.has(state.base) || !isSettled)
        state.base = oldestVersion(ready, state.base);
      state.mixedSince ??= now;
      return;
    }
    const [only] = versions;
    if (only === undefined) return;
    if (state.base !== only || state.mixedSince !== undefined) state.aloneSince = now;
    state.base = only;
    state.mixedSince = undefined;
    state.step = undefined;
  }

  #stateOf(service: string): ServiceState {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const state: ServiceState = {
      versions: new Set(),
      base: undefined,
      aloneSince: Number.POSITIVE_INFINITY,
      mixedSince: undefined,
      step: undefined,
      heardAt: Number.NEGATIVE_INFINITY,
      condemned: new Set(),
    };
    this.#services.set(service, state);
    return state;
  }
}
