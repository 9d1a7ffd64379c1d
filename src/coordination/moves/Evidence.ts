import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../state/Endpoint.ts';
import type { Move, MoveStage } from '../../state/Move.ts';
import type { VerdictReason } from '../../state/Verdict.ts';
import { FailureDetector } from './detectors/FailureDetector.ts';
import { LatencyDetector } from './detectors/LatencyDetector.ts';
import { LoadMeter } from './LoadMeter.ts';

/** What an entry tells when an endpoint is done with a request. */
export type Release = Extract<PeerMessage, { _tag: 'release' }>;

/** Something that speaks against a version strongly enough. */
export interface VersionFault {
  readonly reason: VerdictReason;
  readonly detail: string;
}

/** How long a home counts among those that could confirm a finding. */
const HOME_LIFETIME_MS = 10_000;
/** Homes that must see a fault, where there are as many. */
const QUORUM = 2;
/** Failures of one endpoint within this time count once: a lost instance ends many requests at once. */
const FAILURE_BURST_MS = 150;
const MAXIMUM_SCOPES = 64;
/** A raise needs every detector to be below this. */
const CALM_SUSPICION = 0.5;
/** Routes with this many requests on the old version in a stage must be seen on the new one too. */
const BUSY_ROUTE_REQUESTS = 20;
const BUSY_ROUTE_SAMPLES = 3;
const MILLISECONDS_PER_SECOND = 1_000;

interface Scope {
  readonly name: string;
  readonly failures: FailureDetector;
  readonly latency: LatencyDetector;
  /** Homes that saw failures of the new version, with the time of the last one. */
  readonly failingHomes: Map<string, number>;
  /** Homes whose requests on the new version were slower than usual, likewise. */
  readonly slowHomes: Map<string, number>;
}

interface RouteCount {
  old: number;
  new: number;
}

/** What the endpoints of a move's two versions showed, and what follows from it. */
export class Evidence {
  private readonly move: Move;

  private endpoints: ReadonlyMap<string, Endpoint> = new Map();

  private readonly scopes = new Map<string, Scope>();

  private readonly homes = new Map<string, number>();

  private readonly load = new LoadMeter();

  private readonly lastFailure = new Map<string, number>();

  private readonly unreachable = new Map<string, Set<string>>();

  private readonly seenEndpoints = new Set<string>();

  private routes = new Map<string, RouteCount>();

  private samples = 0;

  private finding: VersionFault | undefined;

  /**
   * @param move - the move that evidence is collected for
   * @param endpoints - endpoints of the move's pool
   */
  constructor(move: Move, endpoints: readonly Endpoint[]) {
    this.move = move;
    this.configure(endpoints);
  }

  /** Takes over the endpoints of a newer bundle that still has the move. */
  configure(endpoints: readonly Endpoint[]): void {
    this.endpoints = new Map(
      endpoints.filter(({ pool }) => pool === this.move.pool).map((each) => [each.name, each]),
    );
  }

  /**
   * Adds what a request showed.
   *
   * @param home - incarnation that dispatched it
   * @param release - its release
   * @param now - present time in ms
   */
  record(home: string, release: Release, now: number): void {
    const isNew = release.version === this.move.to;
    if (!isNew && release.version !== this.move.from) return;
    this.homes.set(home, now);
    const { result } = release.record;
    if (result === 'completed') this.count(release.route, isNew);
    if (isNew) this.seenEndpoints.add(release.endpoint);
    if (result === 'completed') this.unreachable.delete(release.endpoint);
    if (this.tellsOfFailure(home, release, now)) this.addOutcome(home, release, now);
    if (result === 'completed' || result === 'cancelled') this.addLatency(home, release, now);
    if (isNew && this.finding === undefined) this.finding = this.judge(now);
  }

  /** Starts a stage: what its raise needs is counted from here. */
  beginStage(): void {
    this.samples = 0;
    this.routes = new Map();
  }

  /** Gives what condemns the new version, undefined while nothing does. */
  condemnation(): VersionFault | undefined {
    return this.finding;
  }

  /**
   * Tells what is missing before a stage counts as proven.
   *
   * @param stage - the stage under way
   * @returns the lack in words, undefined where the next stage may begin
   */
  missingEvidence(stage: MoveStage): string | undefined {
    if (this.samples < stage.minimumSamples) {
      return `${this.samples} of ${stage.minimumSamples} samples`;
    }
    const unseen = [...this.routes.entries()].find(
      ([, counts]) => counts.old >= BUSY_ROUTE_REQUESTS && counts.new < BUSY_ROUTE_SAMPLES,
    );
    if (unseen !== undefined) return `route "${unseen[0]}" is hardly seen on ${this.move.to}`;
    const suspect = [...this.scopes.values()].find(
      ({ failures, latency }) =>
        Math.max(failures.suspicion(), latency.suspicion()) >= CALM_SUSPICION,
    );
    return suspect === undefined ? undefined : `suspicion in ${suspect.name}`;
  }

  private count(route: string, isNew: boolean): void {
    if (isNew) this.samples += 1;
    const counts = this.routes.get(route) ?? { old: 0, new: 0 };
    counts[isNew ? 'new' : 'old'] += 1;
    if (this.routes.has(route) || this.routes.size < MAXIMUM_SCOPES) this.routes.set(route, counts);
  }

  private tellsOfFailure(home: string, release: Release, now: number): boolean {
    const { endpoint, version, record } = release;
    if (record.result === 'cancelled') return false;
    if (record.result === 'completed') return true;
    if (record.connectFailure && !this.isUnreachable(home, release, now)) return false;
    const isBurst = now - (this.lastFailure.get(endpoint) ?? -Infinity) < FAILURE_BURST_MS;
    if (!isBurst) this.lastFailure.set(endpoint, now);
    // What counts once is still seen by each home that reports it.
    else if (version === this.move.to) this.testify(home, release, now);
    return !isBurst;
  }

  // A connection that can't be made speaks against a version only where several homes and
  // several of its endpoints agree: else the network or one instance is at fault.
  private isUnreachable(home: string, { endpoint, version }: Release, now: number): boolean {
    const witnesses = this.unreachable.get(endpoint) ?? new Set<string>();
    this.unreachable.set(endpoint, witnesses.add(home));
    const all = [...this.endpoints.values()].filter((each) => each.version === version).length;
    const confirmed = [...this.unreachable.entries()].filter(
      ([name, seenBy]) =>
        this.endpoints.get(name)?.version === version && seenBy.size >= this.quorum(now),
    ).length;
    return confirmed >= Math.min(QUORUM, all);
  }

  private testify(home: string, release: Release, now: number): void {
    this.scopesOf(release).forEach(({ failingHomes }) => failingHomes.set(home, now));
  }

  private addOutcome(home: string, release: Release, now: number): void {
    const failed = release.record.result !== 'completed';
    if (failed && release.version === this.move.to) this.testify(home, release, now);
    this.scopesOf(release).forEach((scope) => {
      if (release.version !== this.move.to) {
        scope.failures.addOld(failed);
        return;
      }
      scope.failures.addNew(failed);
    });
  }

  private addLatency(home: string, release: Release, now: number): void {
    const { endpoint, record, version } = release;
    const logLatency = Math.log(Math.max(1, record.totalMs) / this.expectedMs(release));
    const band = this.load.add(endpoint, record.totalMs, now);
    // A cancelled request only shows a lower bound, which is of use where it's already too long.
    const isBound = record.result === 'cancelled';
    this.scopesOf(release).forEach((scope) => {
      if (version !== this.move.to) {
        if (!isBound) scope.latency.addOld(logLatency, band);
        return;
      }
      const before = scope.latency.suspicion();
      if (isBound && !scope.latency.isSlow(logLatency, band)) return;
      scope.latency.addNew(logLatency, band, endpoint);
      if (scope.latency.suspicion() > before) scope.slowHomes.set(home, now);
    });
  }

  private expectedMs({ endpoint, record }: Release): number {
    const rates = this.endpoints.get(endpoint);
    if (rates === undefined) return 1;
    const prefill = Math.max(0, record.promptTokens - record.cachedTokens);
    const seconds =
      prefill / rates.prefillTokensPerSecond + record.outputTokens / rates.decodeTokensPerSecond;
    return 1 + seconds * MILLISECONDS_PER_SECOND;
  }

  private scopesOf({ endpoint, route }: Release): readonly Scope[] {
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
    const active = [...this.homes.values()].filter((at) => now - at < HOME_LIFETIME_MS).length;
    return Math.min(QUORUM, active);
  }

  private judge(now: number): VersionFault | undefined {
    const isConfirmed = (homes: Map<string, number>): boolean =>
      [...homes.values()].filter((at) => now - at < HOME_LIFETIME_MS).length >= this.quorum(now);
    const scopes = [...this.scopes.values()];
    const failing = scopes.find(
      ({ failures, failingHomes }) => failures.suspicion() >= 1 && isConfirmed(failingHomes),
    );
    if (failing !== undefined) {
      return { reason: 'failures', detail: `${this.move.to} fails more often: ${failing.name}` };
    }
    const endpointsNeeded = Math.min(QUORUM, this.seenEndpoints.size);
    const slow = scopes.find(
      ({ latency, slowHomes }) =>
        latency.suspicion() >= 1 &&
        latency.testimony().size >= endpointsNeeded &&
        isConfirmed(slowHomes),
    );
    if (slow === undefined) return undefined;
    return { reason: 'latency', detail: `${this.move.to} is slower: ${slow.name}` };
  }
}
