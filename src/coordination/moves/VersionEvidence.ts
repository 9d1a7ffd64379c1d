import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { Move, MoveStage } from '../../state/Move.ts';
import type { VerdictReason } from '../../state/Verdict.ts';
import { FailureDetector } from './detectors/FailureDetector.ts';
import { LatencyDetector } from './detectors/LatencyDetector.ts';
import { InFlightEstimator } from './InFlightEstimator.ts';

/** Message by which an entry reports that an endpoint has ended a request, with the call record. */
export type ReleaseMessage = Extract<PeerMessage, { _tag: 'release' }>;

/** Fault that condemns a version. */
export interface VersionFault {
  readonly reason: VerdictReason;
  readonly detail: string;
}

/** Time after its last report during which a home counts as active and can confirm a fault. */
const HOME_ACTIVE_MS = 10_000;
/** Homes, and endpoints, that must each show a fault; all of them where there are fewer. */
const CONFIRMATION_QUORUM = 2;
/** Failures of one endpoint within this time count once, since a lost instance fails many requests at once. */
const FAILURE_BURST_MS = 150;
/** Limit on scopes and on routes, which bounds memory. */
const MAXIMUM_SCOPES = 64;
/** The next stage starts only while the suspicion of every detector is below this. */
const ADVANCE_SUSPICION_LIMIT = 0.5;
/** Completed requests on the old version in one stage from which a route needs samples on the new one. */
const BUSY_ROUTE_OLD_REQUESTS = 20;
/** Completed requests on the new version that such a route needs in the stage. */
const BUSY_ROUTE_MINIMUM_SAMPLES = 3;
const MILLISECONDS_PER_SECOND = 1_000;

/** Detectors for one subset of the requests. */
interface Scope {
  readonly name: string;
  readonly failures: FailureDetector;
  readonly latency: LatencyDetector;
  /** Homes that reported failures of the new version, with the monotonic time of the last one, ms. */
  readonly failingHomes: Map<string, number>;
  /** Homes that reported slow requests on the new version, with the monotonic time of the last one, ms. */
  readonly slowHomes: Map<string, number>;
}

interface RouteCount {
  old: number;
  new: number;
}

/** Evidence on the two versions of a move, from ended requests, and the fault that it shows if any. */
export class VersionEvidence {
  private readonly move: Move;

  private endpoints: ReadonlyMap<string, Endpoint> = new Map();

  private readonly scopes = new Map<string, Scope>();

  private readonly homeSeenAt = new Map<string, number>();

  private readonly inFlightEstimator = new InFlightEstimator();

  private readonly lastFailureAt = new Map<string, number>();

  /** Homes that failed to connect to each endpoint since it last completed a request. */
  private readonly homesFailingToConnect = new Map<string, Set<string>>();

  private readonly seenEndpoints = new Set<string>();

  private routeCounts = new Map<string, RouteCount>();

  private samples = 0;

  private fault: VersionFault | undefined;

  /**
   * @param move - move that the evidence is for
   * @param endpoints - endpoints of the move's pool
   */
  constructor(move: Move, endpoints: readonly Endpoint[]) {
    this.move = move;
    this.configure(endpoints);
  }

  /**
   * Applies the endpoints of a newer bundle that still has the move.
   *
   * @param endpoints - endpoints of the bundle; those of other pools are ignored
   */
  configure(endpoints: readonly Endpoint[]): void {
    this.endpoints = new Map(
      endpoints.filter(({ pool }) => pool === this.move.pool).map((each) => [each.name, each]),
    );
  }

  /**
   * Adds the evidence of an ended request; releases of versions other than the two of the move are ignored.
   *
   * @param home - incarnation that dispatched the request
   * @param release - its release message
   * @param now - present monotonic time, ms
   */
  record(home: string, release: ReleaseMessage, now: number): void {
    const isNew = release.version === this.move.to;
    if (!isNew && release.version !== this.move.from) return;
    this.homeSeenAt.set(home, now);
    const { result } = release.record;
    if (result === 'completed') this.countCompleted(release.route, isNew);
    if (isNew) this.seenEndpoints.add(release.endpoint);
    if (result === 'completed') this.homesFailingToConnect.delete(release.endpoint);
    if (this.countsAsOutcome(home, release, now)) this.addOutcome(home, release, now);
    if (result === 'completed' || result === 'cancelled') this.addLatency(home, release, now);
    if (isNew && this.fault === undefined) this.fault = this.detectFault(now);
  }

  /** Starts a stage: samples and routes are counted from zero, since each stage needs its own evidence. */
  beginStage(): void {
    this.samples = 0;
    this.routeCounts = new Map();
  }

  /** @returns the first fault detected in the new version, or undefined where there is none */
  detectedFault(): VersionFault | undefined {
    return this.fault;
  }

  /**
   * Describes the evidence that is missing before the next stage may start.
   *
   * @param stage - the current stage
   * @returns the missing evidence in words, or undefined where it is complete
   */
  missingEvidence(stage: MoveStage): string | undefined {
    if (this.samples < stage.minimumSamples) {
      return `${this.samples} of ${stage.minimumSamples} samples`;
    }
    const undersampled = [...this.routeCounts.entries()].find(
      ([, counts]) =>
        counts.old >= BUSY_ROUTE_OLD_REQUESTS && counts.new < BUSY_ROUTE_MINIMUM_SAMPLES,
    );
    if (undersampled !== undefined)
      return `route "${undersampled[0]}" is hardly seen on ${this.move.to}`;
    const suspect = [...this.scopes.values()].find(
      ({ failures, latency }) =>
        Math.max(failures.suspicion(), latency.suspicion()) >= ADVANCE_SUSPICION_LIMIT,
    );
    return suspect === undefined ? undefined : `suspicion in ${suspect.name}`;
  }

  private countCompleted(route: string, isNew: boolean): void {
    if (isNew) this.samples += 1;
    const counts = this.routeCounts.get(route) ?? { old: 0, new: 0 };
    counts[isNew ? 'new' : 'old'] += 1;
    if (this.routeCounts.has(route) || this.routeCounts.size < MAXIMUM_SCOPES)
      this.routeCounts.set(route, counts);
  }

  private countsAsOutcome(home: string, release: ReleaseMessage, now: number): boolean {
    const { endpoint, version, record } = release;
    if (record.result === 'cancelled') return false;
    if (record.result === 'completed') return true;
    if (record.connectFailure && !this.isConnectFailureConfirmed(home, release, now)) return false;
    const isBurst = now - (this.lastFailureAt.get(endpoint) ?? -Infinity) < FAILURE_BURST_MS;
    if (!isBurst) this.lastFailureAt.set(endpoint, now);
    // The burst counts as one failure, but every home that reports it helps to confirm the fault.
    else if (version === this.move.to) this.recordFailingHome(home, release, now);
    return !isBurst;
  }

  // A failed connection counts against a version only where several homes fail to connect to several
  // of its endpoints: otherwise the fault may lie with the network or with one instance.
  private isConnectFailureConfirmed(
    home: string,
    { endpoint, version }: ReleaseMessage,
    now: number,
  ): boolean {
    const failingHomes = this.homesFailingToConnect.get(endpoint) ?? new Set<string>();
    this.homesFailingToConnect.set(endpoint, failingHomes.add(home));
    const endpointCount = [...this.endpoints.values()].filter(
      (each) => each.version === version,
    ).length;
    const confirmed = [...this.homesFailingToConnect.entries()].filter(
      ([name, seenBy]) =>
        this.endpoints.get(name)?.version === version && seenBy.size >= this.quorum(now),
    ).length;
    return confirmed >= Math.min(CONFIRMATION_QUORUM, endpointCount);
  }

  private recordFailingHome(home: string, release: ReleaseMessage, now: number): void {
    this.scopesOf(release).forEach(({ failingHomes }) => failingHomes.set(home, now));
  }

  private addOutcome(home: string, release: ReleaseMessage, now: number): void {
    const failed = release.record.result !== 'completed';
    if (failed && release.version === this.move.to) this.recordFailingHome(home, release, now);
    this.scopesOf(release).forEach((scope) => {
      if (release.version !== this.move.to) {
        scope.failures.addOld(failed);
        return;
      }
      scope.failures.addNew(failed);
    });
  }

  private addLatency(home: string, release: ReleaseMessage, now: number): void {
    const { endpoint, record, version } = release;
    const logLatency = Math.log(Math.max(1, record.totalMs) / this.expectedMs(release));
    const band = this.inFlightEstimator.addEnded(endpoint, record.totalMs, now);
    // The duration of a cancelled request is only a lower bound, which counts only if it is already slow.
    const isLowerBound = record.result === 'cancelled';
    this.scopesOf(release).forEach((scope) => {
      if (version !== this.move.to) {
        if (!isLowerBound) scope.latency.addOld(logLatency, band);
        return;
      }
      const before = scope.latency.suspicion();
      if (isLowerBound && !scope.latency.isSlow(logLatency, band)) return;
      scope.latency.addNew(logLatency, band, endpoint);
      if (scope.latency.suspicion() > before) scope.slowHomes.set(home, now);
    });
  }

  private expectedMs({ endpoint, record }: ReleaseMessage): number {
    const rates = this.endpoints.get(endpoint);
    if (rates === undefined) return 1;
    const prefill = Math.max(0, record.promptTokens - record.cachedTokens);
    const seconds =
      prefill / rates.prefillTokensPerSecond + record.outputTokens / rates.decodeTokensPerSecond;
    return 1 + seconds * MILLISECONDS_PER_SECOND;
  }

  private scopesOf({ endpoint, route }: ReleaseMessage): readonly Scope[] {
    const domain = this.endpoints.get(endpoint)?.failureDomain ?? '';
    return ['all requests', `route "${route}"`, `failure domain "${domain}"`].flatMap((name) => {
      const scope = this.scopes.get(name) ?? this.addScope(name);
      return scope === undefined ? [] : [scope];
    });
  }

  private addScope(name: string): Scope | undefined {
    if (this.scopes.size >= MAXIMUM_SCOPES) return undefined;
    const scope: Scope = {
      name,
      failures: new FailureDetector(),
      latency: new LatencyDetector(),
      failingHomes: new Map(),
      slowHomes: new Map(),
    };
    this.scopes.set(name, scope);
    return scope;
  }

  private quorum(now: number): number {
    const active = [...this.homeSeenAt.values()].filter((at) => now - at < HOME_ACTIVE_MS).length;
    return Math.min(CONFIRMATION_QUORUM, active);
  }

  private detectFault(now: number): VersionFault | undefined {
    const isConfirmed = (homes: Map<string, number>): boolean =>
      [...homes.values()].filter((at) => now - at < HOME_ACTIVE_MS).length >= this.quorum(now);
    const scopes = [...this.scopes.values()];
    const failing = scopes.find(
      ({ failures, failingHomes }) => failures.suspicion() >= 1 && isConfirmed(failingHomes),
    );
    if (failing !== undefined) {
      return { reason: 'failures', detail: `${this.move.to} fails more often: ${failing.name}` };
    }
    const endpointsNeeded = Math.min(CONFIRMATION_QUORUM, this.seenEndpoints.size);
    const slow = scopes.find(
      ({ latency, slowHomes }) =>
        latency.suspicion() >= 1 &&
        latency.sourcesOfSuspicion().size >= endpointsNeeded &&
        isConfirmed(slowHomes),
    );
    if (slow === undefined) return undefined;
    return { reason: 'latency', detail: `${this.move.to} is slower: ${slow.name}` };
  }
}
