import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import { ConfigurationReplica, isRelay } from '../coordination/configuration/index.ts';
import {
  ClockJumpDetector,
  RequestHome,
  OutcomeResolver,
  OwnIncarnations,
  SchedulerSelector,
} from '../coordination/home/index.ts';
import type { HomeAction } from '../coordination/home/index.ts';
import { QuotaCache, QuotaAllocator } from '../coordination/limits/index.ts';
import { Membership, rankMembers } from '../coordination/membership/index.ts';
import type { EntryAddress } from '../protocol/caller/CallerService.ts';
import type { EndpointClient } from '../protocol/engine/EndpointClient.ts';
import type { PeerNetwork } from '../protocol/peer/PeerNetwork.ts';
import type { Member } from '../state/Member.ts';
import type { RequestOutcome, RequestStatus } from '../state/RequestOutcome.ts';
import type { EntrySettings } from '../state/EntrySettings.ts';
import { findDispatchTarget } from './findDispatchTarget.ts';
import { EndpointCalls } from './EndpointCalls.ts';
import { listEntryAddresses } from './listEntryAddresses.ts';
import { logDecision } from './logDecision.ts';
import { Metrics } from './Metrics.ts';
import { PoolSchedulers } from './PoolSchedulers.ts';
import { routePeerMessage } from './routePeerMessage.ts';

const INCARNATION_BYTES = 10;
const RANDOM_SEED_BYTES = 4;
/** Interval at which accounts are assigned to their owners again, so that an unreachable owner is retried. */
const ACCOUNT_OWNER_CHECK_INTERVAL_MS = 2_000;
const MINIMUM_RETRY_AFTER_MS = 200;
const MAXIMUM_RETRY_AFTER_MS = 1_500;

/** Dependencies of an entry. Everything that does input or output is injected. */
export interface EntryOptions {
  readonly settings: EntrySettings;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly client: EndpointClient;
  readonly network: PeerNetwork;
  readonly logger: Logger;
  /** Present monotonic time in ms. */
  readonly now: () => number;
  /** Present Unix time in ms. */
  readonly wallNow: () => number;
}

const createIncarnation = (): string => randomBytes(INCARNATION_BYTES).toString('hex');

/** One entry process. Owns the components that make decisions and executes the actions that they return. */
export class Entry {
  readonly settings: EntrySettings;

  readonly metrics = new Metrics();

  /** Replica of the configuration in force, of verdicts and of move statuses. */
  readonly replica: ConfigurationReplica;

  readonly membership: Membership;

  readonly home: RequestHome;

  readonly calls: EndpointCalls;

  readonly outcomeResolver: OutcomeResolver;

  readonly random: RandomGenerator;

  readonly incarnations = new OwnIncarnations(createIncarnation());

  /** Records the evidence that a release message contains; undefined until the move drivers are started. */
  recordRelease: Parameters<typeof routePeerMessage>[0]['recordRelease'] | undefined;

  draining = false;

  readonly #options: EntryOptions;

  readonly #schedulers: PoolSchedulers;

  readonly #quotaAllocator = new QuotaAllocator();

  readonly #quota: QuotaCache;

  readonly #schedulerSelector = new SchedulerSelector();

  readonly #clockJumpDetector: ClockJumpDetector;

  /** Actions that have not been executed yet. */
  readonly #queue: HomeAction[] = [];

  readonly #memberLostListeners: ((incarnation: string) => void)[] = [];

  #isExecuting = false;

  #hasLeft = false;

  #appliedConfigurationKey = '';

  #members: readonly Member[] = [];

  #aliveIncarnations: ReadonlySet<string> = new Set();

  #accountOwnersCheckedAt = 0;

  /** @param options - dependencies of the entry */
  constructor(options: EntryOptions) {
    const { settings, callerAddress, peerAddress, client, now, wallNow } = options;
    this.#options = options;
    this.settings = settings;
    this.random = xoroshiro128plus(randomBytes(RANDOM_SEED_BYTES).readInt32BE());
    const currentIncarnation = (): string => this.incarnation;
    this.membership = new Membership({
      self: {
        incarnation: this.incarnation,
        callerAddress,
        peerAddress,
        failureDomain: settings.failureDomain,
        region: settings.region,
        status: 'alive',
        revision: 0,
        draining: false,
      },
      timing: settings.timing,
      random: this.random,
    });
    this.replica = new ConfigurationReplica(this.#createIdentity(), this.random);
    this.#quota = new QuotaCache({
      self: this.incarnation,
      policy: settings.policy.accountLimits,
    });
    this.#clockJumpDetector = new ClockJumpDetector(now(), wallNow());
    this.#schedulers = new PoolSchedulers(settings, client, now);
    this.calls = this.#createEndpointCalls(client);
    this.home = new RequestHome({
      incarnation: currentIncarnation,
      mayDispatch: (at) => this.#mayDispatch(at),
      mayUseVersion: (pool, version) => this.#mayServe(pool, version),
      findScheduler: (pool, at, excluded) => this.#chooseScheduler(pool, at, excluded),
      acquireQuota: (account, tokens, at) => this.#quota.acquire(account, tokens, at),
      releaseQuota: (account, used, counted, at) => this.#quota.release(account, used, at, counted),
      randomRetryAfterMs: () => this.chooseRetryAfterMs(),
    });
    const { incarnationLeaseMs, incarnationLeaseMarginMs } = settings.timing;
    this.outcomeResolver = new OutcomeResolver({
      incarnation: currentIncarnation,
      members: () => this.membership.allMembers(),
      silenceMs: (member, at) => at - (this.membership.lastContactAt(member) ?? -Infinity),
      requiredSilenceMs: incarnationLeaseMs + incarnationLeaseMarginMs,
      voidLocally: (id, at) =>
        this.#schedulers.findRequest(id, this.#mayBeAlive(id.split('.', 1)[0] ?? '', at)),
      randomRetryAfterMs: () => this.chooseRetryAfterMs(),
    });
    this.#refreshMembers();
  }

  /** @returns the present incarnation of this process, which changes after its lease lapses */
  get incarnation(): string {
    return this.incarnations.current;
  }

  /** @returns present monotonic time in ms */
  now(): number {
    return this.#options.now();
  }

  /** @returns present Unix time in ms */
  wallNow(): number {
    return this.#options.wallNow();
  }

  /** @returns random time in ms that a caller should wait before it retries */
  chooseRetryAfterMs(): number {
    return uniformInt(this.random, MINIMUM_RETRY_AFTER_MS, MAXIMUM_RETRY_AFTER_MS);
  }

  /**
   * Registers a listener for members that are dead or have left.
   *
   * @param listener - called once for each member, with its incarnation
   */
  onMemberLost(listener: (incarnation: string) => void): void {
    this.#memberLostListeners.push(listener);
  }

  /** Starts handling messages from peers. */
  listen(): void {
    this.#options.network.onDelivery((delivery) => {
      this.metrics.countMessage(delivery.message._tag, 'received');
      this.execute(routePeerMessage(this.#messageHandlers(), delivery, this.now()));
      // A caller's request may arrive in the same event loop turn as the first configuration.
      if (delivery.message._tag === 'push') this.refreshConfiguration();
    });
  }

  /**
   * Joins other entries.
   *
   * @param addresses - peer addresses `IP:PORT` at which entries may run
   */
  join(addresses: readonly string[]): void {
    const others = addresses.filter((address) => address !== this.#options.peerAddress);
    this.execute(this.membership.join(others, this.now()));
  }

  /**
   * Executes actions in order. Actions that result from them in this process are executed afterwards.
   *
   * @param actions - actions that the components returned
   */
  execute(actions: readonly HomeAction[]): void {
    this.#queue.push(...actions);
    if (this.#isExecuting) return;
    this.#isExecuting = true;
    let action = this.#queue.shift();
    while (action !== undefined) {
      this.#executeAction(action);
      action = this.#queue.shift();
    }
    this.#isExecuting = false;
  }

  /**
   * Finds the status of a request as far as this process knows it, without asking peers.
   *
   * @param id - the request's id
   * @returns the status, undefined if another process may know more
   */
  statusOf(id: string): RequestStatus | undefined {
    const status = this.home.status(id);
    if (status !== undefined || !this.incarnations.neverRan(id, this.wallNow())) return status;
    const retryAfterMs = this.chooseRetryAfterMs();
    return { _tag: 'ended', outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs } };
  }

  /** Runs the timers of all components. */
  tick(): void {
    const now = this.now();
    this.#replaceLapsedIncarnation(now);
    this.execute(this.membership.tick(now));
    this.#refreshMembers();
    this.execute(this.replica.tick(now, this.membership.acceptingMembers()));
    this.refreshConfiguration();
    this.execute(this.#schedulers.tick(now));
    this.#quotaAllocator.tick(now);
    this.execute(this.#quota.tick(now));
    this.execute(this.home.tick(now, (id) => this.incarnations.mayEvict(id, this.wallNow())));
    this.execute(this.outcomeResolver.tick(now));
  }

  /** Applies the configuration, the routings and the leaving endpoints if any of them has changed. */
  refreshConfiguration(): void {
    const now = this.now();
    const configuration = this.replica.current();
    if (configuration === undefined) return;
    const routings = this.replica.routings(now, this.#options.wallNow());
    const leaving = this.replica.leavingAddresses();
    const key = JSON.stringify([configuration.rollNumber, [...routings.values()], [...leaving]]);
    if (key === this.#appliedConfigurationKey) return;
    this.#appliedConfigurationKey = key;
    const { bundle } = configuration;
    this.#quotaAllocator.configure(bundle.accounts, now);
    this.#quota.configure(bundle, now);
    this.#assignAccountOwners(now);
    this.execute(this.#schedulers.configure({ bundle, routings, leaving }, now));
  }

  /** @returns entry addresses for callers, interleaved by failure domain, this process first */
  entryAddresses(): readonly EntryAddress[] {
    return listEntryAddresses(this.membership.acceptingMembers(), this.wallNow());
  }

  /**
   * Checks whether this process schedules a pool, as computed from the members that it knows.
   *
   * @param pool - the pool's name
   * @returns whether it does; normally true in one process, but in several while the members that they
   *   know differ
   */
  isScheduler(pool: string): boolean {
    return this.#chooseScheduler(pool, this.now(), undefined) === this.incarnation;
  }

  /** @returns whether this process serves or schedules requests, so that a short tick interval is needed */
  isBusy(): boolean {
    return this.home.size > 0 || this.#schedulers.isBusy();
  }

  /** @returns whether this process watches the object service for its failure domain */
  isRelay(): boolean {
    return isRelay(
      this.incarnation,
      this.settings.failureDomain,
      this.membership.acceptingMembers(),
    );
  }

  /** Stops accepting new requests. Waiting and running requests are completed. */
  drain(): void {
    if (this.draining) return;
    this.draining = true;
    this.execute(this.membership.drain(this.now()));
    this.#refreshMembers();
  }

  /** Announces to peers that this process leaves permanently. */
  leave(): void {
    this.#hasLeft = true;
    this.execute(this.membership.leave(this.now()));
  }

  /** @returns present gauge values for a scrape */
  gauges(): Parameters<Metrics['render']>[0] {
    return {
      requests: this.home.size,
      members: this.membership.liveMembers().length,
      rollNumber: this.replica.current()?.rollNumber ?? 0,
      ...this.#options.network.traffic(),
    };
  }

  /** The incarnation is a getter, because it changes when a lease lapses. */
  #createIdentity(): { readonly incarnation: string; readonly failureDomain: string } {
    const incarnation = (): string => this.incarnation;
    const { failureDomain } = this.settings;
    return {
      get incarnation() {
        return incarnation();
      },
      failureDomain,
    };
  }

  #createEndpointCalls(client: EndpointClient): EndpointCalls {
    return new EndpointCalls(client, {
      progressed: (id) => this.home.recordFirstToken(id, this.now()),
      completed: (id, usage, result) => {
        const counted = usage ?? { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
        this.execute(this.home.complete(id, counted, result, this.now()));
      },
      failed: (id, reason) => this.execute(this.home.fail(id, reason, this.now())),
      refused: (id) => this.execute(this.home.retryElsewhere(id, this.now())),
    });
  }

  #messageHandlers(): Parameters<typeof routePeerMessage>[0] {
    return {
      membership: this.membership,
      home: this.home,
      schedulers: this.#schedulers,
      quotaAllocator: this.#quotaAllocator,
      quotaCache: this.#quota,
      configurationReplica: this.replica,
      outcomeResolver: this.outcomeResolver,
      statusOf: (id) => this.statusOf(id),
      mayBeAlive: (incarnation, now) => this.#mayBeAlive(incarnation, now),
      recordRelease: (from, release, now) => this.recordRelease?.(from, release, now) ?? [],
    };
  }

  #executeAction(action: HomeAction): void {
    switch (action._tag) {
      case 'send':
        this.#send(action);
        return;
      case 'sendAddress':
        this.metrics.countMessage(action.message._tag, 'sent');
        this.#options.network.send(action.to, action.message);
        return;
      case 'decide':
        this.metrics.record(action.decision);
        logDecision(this.#options.logger, action.decision);
        return;
      case 'dispatch':
        this.#dispatch(action);
        return;
      case 'cancelCall':
        this.calls.cancel(action.id);
        return;
      case 'suspendCall':
        this.calls.suspend(action.id);
        return;
      case 'resumeCall':
        this.calls.resume(action.id);
        return;
      case 'finish':
        this.#finish(action.id, action.outcome);
        return;
      default:
        action satisfies never;
    }
  }

  #send({ to, message }: Extract<HomeAction, { _tag: 'send' }>): void {
    const now = this.now();
    if (to === this.incarnation) {
      this.#queue.push(...routePeerMessage(this.#messageHandlers(), { from: to, message }, now));
      return;
    }
    const member = this.membership.find(to);
    this.metrics.countMessage(message._tag, 'sent');
    const sent = member !== undefined && this.#options.network.send(member.peerAddress, message);
    if (sent) return;
    this.#schedulerSelector.markUnreachable(to, now);
    if (message._tag === 'quotaRequest') {
      this.#quota.fallBackToEvenShare(message.account, this.#members.length, now);
      this.execute(this.home.retryQuota(message.account, now));
    }
  }

  #dispatch({ request, grant }: Extract<HomeAction, { _tag: 'dispatch' }>): void {
    const target = findDispatchTarget(this.replica.current()?.bundle, grant.endpoint);
    if (target === undefined) {
      this.execute(this.home.retryElsewhere(request.id, this.now()));
      return;
    }
    // The lease may end while the connection opens, and a new incarnation has a lease of its own.
    const { incarnation } = this;
    const mayWrite = (): boolean => this.#mayDispatch(this.now(), incarnation);
    this.calls.start(request.id, { ...target, idempotent: request.idempotent, mayWrite });
  }

  #finish(id: string, outcome: RequestOutcome): void {
    const response = this.calls.find(id)?.response;
    this.calls.unregister(id);
    if (response === undefined) return;
    switch (outcome._tag) {
      case 'completed':
        return;
      case 'notRun':
        response.sendNotRun(outcome.reason, outcome.retryAfterMs);
        return;
      case 'unknown':
        if (response.isHeadSent()) response.abort(outcome.reason);
        else response.sendUnknownOutcome(outcome.reason);
        return;
      default:
        outcome satisfies never;
    }
  }

  #mayDispatch(now: number, incarnation = this.incarnation): boolean {
    if (incarnation !== this.incarnation) return false;
    if (this.#clockJumpDetector.hasJumped(now, this.#options.wallNow())) return false;
    return this.membership.lease(now)._tag !== 'lapsed';
  }

  #mayServe(pool: string, version: string): boolean {
    const routing = this.replica.routings(this.now(), this.#options.wallNow()).get(pool);
    return routing === undefined || !routing.condemned.includes(version);
  }

  #mayBeAlive(incarnation: string, now: number): boolean {
    if (incarnation === this.incarnation) return true;
    const { incarnationLeaseMs, incarnationLeaseMarginMs } = this.settings.timing;
    const lastContactAt = this.membership.lastContactAt(incarnation) ?? -Infinity;
    return now - lastContactAt < incarnationLeaseMs + incarnationLeaseMarginMs;
  }

  /**
   * Replaces the incarnation if its lease has lapsed. Peers may already consider it dead, so it must
   * not dispatch any more requests.
   */
  #replaceLapsedIncarnation(now: number): void {
    // Leaving also ends the lease, and then no new incarnation may start.
    if (this.#hasLeft || this.#mayDispatch(now)) return;
    this.execute(this.home.rejectWaiting('entry_lost', now));
    this.#clockJumpDetector.reset(now, this.#options.wallNow());
    this.incarnations.replace(createIncarnation());
    this.execute(this.membership.restart(this.incarnation, now));
    this.#refreshMembers();
  }

  /** Falls back to this process: a draining entry without other members schedules its own requests. */
  #chooseScheduler(pool: string, now: number, excluded: string | undefined): string | undefined {
    const chosen = this.#schedulerSelector.choose(pool, now, excluded);
    return chosen ?? (excluded === this.incarnation ? undefined : this.incarnation);
  }

  #refreshMembers(): void {
    const now = this.now();
    this.#handleLostMembers(now);
    const members = this.membership
      .acceptingMembers()
      .filter(({ region }) => region === this.settings.region);
    const key = (list: readonly Member[]): string =>
      list.map(({ incarnation, status }) => `${incarnation} ${status}`).join();
    const isSame = key(members) === key(this.#members);
    if (isSame && now < this.#accountOwnersCheckedAt + ACCOUNT_OWNER_CHECK_INTERVAL_MS) return;
    this.#members = members;
    if (!isSame) this.#schedulerSelector.setMembers(members);
    this.#assignAccountOwners(now);
  }

  #handleLostMembers(now: number): void {
    const alive = new Set(this.membership.liveMembers().map(({ incarnation }) => incarnation));
    const lost = [...this.#aliveIncarnations].filter((incarnation) => !alive.has(incarnation));
    this.#aliveIncarnations = alive;
    lost.forEach((entry) => {
      this.#memberLostListeners.forEach((listener) => listener(entry));
      this.#quotaAllocator.removeEntry(entry);
      this.execute(this.#schedulers.useAll((scheduler) => scheduler.handleOwnerLoss(entry, now)));
    });
  }

  /**
   * Assigns each account to its owner, the first member by rank. An account that was limited by an even
   * share of its limits while the owner was unreachable is returned to the owner.
   */
  #assignAccountOwners(now: number): void {
    this.#accountOwnersCheckedAt = now;
    this.#quota.setLiveMemberCount(this.#members.length);
    const accounts = this.replica.current()?.bundle.accounts ?? [];
    accounts.forEach(({ name }) => {
      const owner = rankMembers(`account/${name}`, this.#members)[0];
      if (owner !== undefined) this.execute(this.#quota.setOwner(name, owner.incarnation, now));
    });
  }
}
