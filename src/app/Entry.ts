import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import { ConfigurationBoard, isRelay } from '../coordination/configuration/index.ts';
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
import type { Endpoint } from '../state/Endpoint.ts';
import type { Member } from '../state/Member.ts';
import type { RequestOutcome, RequestStatus } from '../state/RequestOutcome.ts';
import type { EntrySettings } from '../state/EntrySettings.ts';
import { EndpointCalls } from './EndpointCalls.ts';
import { listEntries } from './listEntries.ts';
import { logDecision } from './logDecision.ts';
import { Metrics } from './Metrics.ts';
import { PoolSchedulers } from './PoolSchedulers.ts';
import { routePeerMessage } from './routePeerMessage.ts';

const INCARNATION_BYTES = 10;
const SEED_BYTES = 4;
/** Time after which the owner of an account is asked again that could not be reached. */
const OWNER_CHECK_MS = 2_000;
const LEAST_RETRY_MS = 200;
const MOST_RETRY_MS = 1_500;

/** What an entry is made from; everything that does input or output comes from outside. */
export interface EntryParts {
  readonly settings: EntrySettings;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly client: EndpointClient;
  readonly network: PeerNetwork;
  readonly logger: Logger;
  /** Present monotonic time, ms. */
  readonly now: () => number;
  /** Present Unix time, ms. */
  readonly wallNow: () => number;
}

const createIncarnation = (): string => randomBytes(INCARNATION_BYTES).toString('hex');

/** One entry process: the machines, and the carrying out of what they decide. */
export class Entry {
  readonly settings: EntrySettings;

  readonly metrics = new Metrics();

  readonly board: ConfigurationBoard;

  readonly membership: Membership;

  readonly home: RequestHome;

  readonly calls: EndpointCalls;

  readonly inquiry: OutcomeResolver;

  readonly random: RandomGenerator;

  readonly incarnations = new OwnIncarnations(createIncarnation());

  /** Takes the evidence that a release holds; set once moves are driven. */
  recordRelease: Parameters<typeof routePeerMessage>[0]['recordRelease'] | undefined;

  draining = false;

  readonly #parts: EntryParts;

  readonly #schedulers: PoolSchedulers;

  readonly #ledger = new QuotaAllocator();

  readonly #cache: QuotaCache;

  readonly #choice = new SchedulerSelector();

  readonly #clockGuard: ClockJumpDetector;

  readonly #queue: HomeAction[] = [];

  readonly #lostListeners: ((incarnation: string) => void)[] = [];

  #working = false;

  #left = false;

  #appliedKey = '';

  #members: readonly Member[] = [];

  #living: ReadonlySet<string> = new Set();

  #ownersCheckedAt = 0;

  /** @param parts - settings, links and clocks */
  constructor(parts: EntryParts) {
    const { settings, callerAddress, peerAddress, client, now, wallNow } = parts;
    this.#parts = parts;
    this.settings = settings;
    this.random = xoroshiro128plus(randomBytes(SEED_BYTES).readInt32BE());
    const self = (): string => this.incarnation;
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
    this.board = new ConfigurationBoard(this.#identity(), this.random);
    this.#cache = new QuotaCache({
      self: this.incarnation,
      policy: settings.policy.accountLimits,
    });
    this.#clockGuard = new ClockJumpDetector(now(), wallNow());
    this.#schedulers = new PoolSchedulers(settings, client, now);
    this.calls = this.#createCalls(client);
    this.home = new RequestHome({
      incarnation: self,
      mayDispatch: (at) => this.#mayDispatch(at),
      mayUseVersion: (pool, version) => this.#mayServe(pool, version),
      findScheduler: (pool, at, excluded) => this.#chooseScheduler(pool, at, excluded),
      acquireQuota: (account, tokens, at) => this.#cache.acquire(account, tokens, at),
      releaseQuota: (account, used, counted, at) => this.#cache.release(account, used, at, counted),
      randomRetryAfterMs: () => this.retryAfter(),
    });
    const { incarnationLeaseMs, incarnationLeaseMarginMs } = settings.timing;
    this.inquiry = new OutcomeResolver({
      incarnation: self,
      members: () => this.membership.allMembers(),
      silenceMs: (incarnation, at) =>
        at - (this.membership.lastContactAt(incarnation) ?? -Infinity),
      requiredSilenceMs: incarnationLeaseMs + incarnationLeaseMarginMs,
      voidLocally: (id, at) =>
        this.#schedulers.find(id, this.#mayBeAlive(id.split('.', 1)[0] ?? '', at)),
      randomRetryAfterMs: () => this.retryAfter(),
    });
    this.#refreshMembers();
  }

  /** @returns this process's present incarnation */
  get incarnation(): string {
    return this.incarnations.current;
  }

  /** @returns present monotonic time, ms */
  now(): number {
    return this.#parts.now();
  }

  /** @returns present Unix time, ms */
  wallNow(): number {
    return this.#parts.wallNow();
  }

  /** @returns ms for a caller to wait, spread at random */
  retryAfter(): number {
    return uniformInt(this.random, LEAST_RETRY_MS, MOST_RETRY_MS);
  }

  /**
   * Registers for members that are dead or have left.
   *
   * @param listener - told each one's incarnation once
   */
  onMemberLost(listener: (incarnation: string) => void): void {
    this.#lostListeners.push(listener);
  }

  /** Takes messages from peers from now on. */
  listen(): void {
    this.#parts.network.onDelivery((delivery) => {
      this.metrics.countMessage(delivery.message._tag, 'received');
      this.run(routePeerMessage(this.#machines(), delivery, this.now()));
      // Callers may come in the same turn in which the first configuration does.
      if (delivery.message._tag === 'push') this.refreshConfiguration();
    });
  }

  /**
   * Looks for other entries.
   *
   * @param addresses - peer addresses that may have an entry
   */
  join(addresses: readonly string[]): void {
    const others = addresses.filter((address) => address !== this.#parts.peerAddress);
    this.run(this.membership.join(others, this.now()));
  }

  /**
   * Carries steps out in order; what they bring about in this process comes after them.
   *
   * @param steps - what machines decided
   */
  run(steps: readonly HomeAction[]): void {
    this.#queue.push(...steps);
    if (this.#working) return;
    this.#working = true;
    let step = this.#queue.shift();
    while (step !== undefined) {
      this.#carryOut(step);
      step = this.#queue.shift();
    }
    this.#working = false;
  }

  /**
   * Tells what this process knows of a request by itself.
   *
   * @param id - a request id
   * @returns its status, or undefined where another process may know more
   */
  statusOf(id: string): RequestStatus | undefined {
    const status = this.home.status(id);
    if (status !== undefined || !this.incarnations.neverRan(id, this.wallNow())) return status;
    const retryAfterMs = this.retryAfter();
    return { _tag: 'ended', outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs } };
  }

  /** Lets every machine act on passed time. */
  tick(): void {
    const now = this.now();
    this.#sealIfLapsed(now);
    this.run(this.membership.tick(now));
    this.#refreshMembers();
    this.run(this.board.tick(now, this.membership.acceptingMembers()));
    this.refreshConfiguration();
    this.run(this.#schedulers.tick(now));
    this.#ledger.tick(now);
    this.run(this.#cache.tick(now));
    this.run(this.home.tick(now, (id) => this.incarnations.mayForget(id, this.wallNow())));
    this.run(this.inquiry.tick(now));
  }

  /** Applies configuration, verdicts and leaving endpoints where they have changed. */
  refreshConfiguration(): void {
    const now = this.now();
    const configuration = this.board.current();
    if (configuration === undefined) return;
    const routings = this.board.routings(now, this.#parts.wallNow());
    const leaving = this.board.leaving();
    const key = JSON.stringify([configuration.rollNumber, [...routings.values()], [...leaving]]);
    if (key === this.#appliedKey) return;
    this.#appliedKey = key;
    const { bundle } = configuration;
    this.#ledger.configure(bundle.accounts, now);
    this.#cache.configure(bundle, now);
    this.#chooseOwners(now);
    this.run(this.#schedulers.configure({ bundle, routings, leaving }, now));
  }

  /** @returns addresses for callers, spread over failure domains, this process first */
  entryAddresses(): readonly EntryAddress[] {
    return listEntries(this.membership.acceptingMembers(), this.wallNow());
  }

  /**
   * Tells whether this process schedules a pool, by its own view of the members.
   *
   * @param pool - the pool's name
   * @returns true on at most a few processes at a time, and normally on one
   */
  isScheduler(pool: string): boolean {
    return this.#chooseScheduler(pool, this.now(), undefined) === this.incarnation;
  }

  /** @returns whether requests are served or scheduled here, so that time matters closely */
  isBusy(): boolean {
    return this.home.size > 0 || this.#schedulers.isBusy();
  }

  /** @returns whether this process watches the object API for its failure domain */
  isRelay(): boolean {
    return isRelay(
      this.incarnation,
      this.settings.failureDomain,
      this.membership.acceptingMembers(),
    );
  }

  /** Stops taking new requests; what waits and runs is served to its end. */
  drain(): void {
    if (this.draining) return;
    this.draining = true;
    this.run(this.membership.drain(this.now()));
    this.#refreshMembers();
  }

  /** Tells peers that this process goes for good. */
  leave(): void {
    this.#left = true;
    this.run(this.membership.leave(this.now()));
  }

  /** @returns present values for a scrape */
  gauges(): Parameters<Metrics['render']>[0] {
    return {
      requests: this.home.size,
      members: this.membership.liveMembers().length,
      rollNumber: this.board.current()?.rollNumber ?? 0,
      ...this.#parts.network.traffic(),
    };
  }

  /** Read anew at each use, as the incarnation changes when a lease lapses. */
  #identity(): { readonly incarnation: string; readonly failureDomain: string } {
    const incarnation = (): string => this.incarnation;
    const { failureDomain } = this.settings;
    return {
      get incarnation() {
        return incarnation();
      },
      failureDomain,
    };
  }

  #createCalls(client: EndpointClient): EndpointCalls {
    return new EndpointCalls(client, {
      progressed: (id) => this.home.recordFirstToken(id, this.now()),
      completed: (id, usage, result) => {
        const counted = usage ?? { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
        this.run(this.home.complete(id, counted, result, this.now()));
      },
      failed: (id, reason) => this.run(this.home.fail(id, reason, this.now())),
      refused: (id) => this.run(this.home.retryElsewhere(id, this.now())),
    });
  }

  #machines(): Parameters<typeof routePeerMessage>[0] {
    return {
      membership: this.membership,
      home: this.home,
      schedulers: this.#schedulers,
      ledger: this.#ledger,
      cache: this.#cache,
      board: this.board,
      inquiry: this.inquiry,
      statusOf: (id) => this.statusOf(id),
      mayBeAlive: (incarnation, now) => this.#mayBeAlive(incarnation, now),
      recordRelease: (from, release, now) => this.recordRelease?.(from, release, now) ?? [],
    };
  }

  #carryOut(step: HomeAction): void {
    switch (step._tag) {
      case 'send':
        this.#send(step);
        return;
      case 'sendAddress':
        this.metrics.countMessage(step.message._tag, 'sent');
        this.#parts.network.send(step.to, step.message);
        return;
      case 'decide':
        this.metrics.record(step.decision);
        logDecision(this.#parts.logger, step.decision);
        return;
      case 'dispatch':
        this.#dispatch(step);
        return;
      case 'cancelCall':
        this.calls.cancel(step.id);
        return;
      case 'suspendCall':
        this.calls.suspend(step.id);
        return;
      case 'resumeCall':
        this.calls.resume(step.id);
        return;
      case 'finish':
        this.#finish(step.id, step.outcome);
        return;
      default:
        step satisfies never;
    }
  }

  #send({ to, message }: Extract<HomeAction, { _tag: 'send' }>): void {
    const now = this.now();
    if (to === this.incarnation) {
      this.#queue.push(...routePeerMessage(this.#machines(), { from: to, message }, now));
      return;
    }
    const member = this.membership.find(to);
    this.metrics.countMessage(message._tag, 'sent');
    const sent = member !== undefined && this.#parts.network.send(member.peerAddress, message);
    if (sent) return;
    this.#choice.markUnreachable(to, now);
    if (message._tag === 'quotaRequest') {
      this.#cache.fallBackToEvenShare(message.account, this.#members.length, now);
      this.run(this.home.retryQuota(message.account, now));
    }
  }

  #dispatch({ request, grant }: Extract<HomeAction, { _tag: 'dispatch' }>): void {
    const endpoint = this.#findEndpoint(grant.endpoint);
    if (endpoint === undefined) {
      this.run(this.home.retryElsewhere(request.id, this.now()));
      return;
    }
    const { address, version, pool } = endpoint;
    const engine =
      this.board.current()?.bundle.pools.find(({ name }) => name === pool)?.kind._tag === 'model';
    this.calls.start(request.id, { address, version, idempotent: request.idempotent, engine });
  }

  #finish(id: string, outcome: RequestOutcome): void {
    const answer = this.calls.find(id)?.answer;
    this.calls.drop(id);
    if (answer === undefined) return;
    switch (outcome._tag) {
      case 'completed':
        return;
      case 'notRun':
        answer.sendNotRun(outcome.reason, outcome.retryAfterMs);
        return;
      case 'unknown':
        if (answer.isHeadSent()) answer.abort(outcome.reason);
        else answer.sendUnknownOutcome(outcome.reason);
        return;
      default:
        outcome satisfies never;
    }
  }

  #findEndpoint(name: string): Endpoint | undefined {
    return this.board.current()?.bundle.endpoints.find((endpoint) => endpoint.name === name);
  }

  #mayDispatch(now: number): boolean {
    if (this.#clockGuard.hasJumped(now, this.#parts.wallNow())) return false;
    return this.membership.lease(now)._tag !== 'lapsed';
  }

  #mayServe(pool: string, version: string): boolean {
    const routing = this.board.routings(this.now(), this.#parts.wallNow()).get(pool);
    return routing === undefined || !routing.condemned.includes(version);
  }

  #mayBeAlive(incarnation: string, now: number): boolean {
    if (incarnation === this.incarnation) return true;
    const { incarnationLeaseMs, incarnationLeaseMarginMs } = this.settings.timing;
    const heardAt = this.membership.lastContactAt(incarnation) ?? -Infinity;
    return now - heardAt < incarnationLeaseMs + incarnationLeaseMarginMs;
  }

  /** Ends an incarnation that peers may have given up, before it could dispatch anything more. */
  #sealIfLapsed(now: number): void {
    // Leaving ends the lease too, and nothing is to follow this incarnation then.
    if (this.#left || this.#mayDispatch(now)) return;
    this.run(this.home.rejectWaiting('entry_lost', now));
    this.#clockGuard.reset(now, this.#parts.wallNow());
    this.incarnations.replace(createIncarnation());
    this.run(this.membership.restart(this.incarnation, now));
    this.#refreshMembers();
  }

  /** An entry that drains alone has nobody else to ask, so it schedules what it still holds itself. */
  #chooseScheduler(pool: string, now: number, excluded: string | undefined): string | undefined {
    const chosen = this.#choice.choose(pool, now, excluded);
    return chosen ?? (excluded === this.incarnation ? undefined : this.incarnation);
  }

  #refreshMembers(): void {
    const now = this.now();
    this.#noticeLost(now);
    const members = this.membership
      .acceptingMembers()
      .filter(({ region }) => region === this.settings.region);
    const key = (list: readonly Member[]): string =>
      list.map(({ incarnation, status }) => `${incarnation} ${status}`).join();
    const isSame = key(members) === key(this.#members);
    if (isSame && now < this.#ownersCheckedAt + OWNER_CHECK_MS) return;
    this.#members = members;
    if (!isSame) this.#choice.setMembers(members);
    this.#chooseOwners(now);
  }

  #noticeLost(now: number): void {
    const living = new Set(this.membership.liveMembers().map(({ incarnation }) => incarnation));
    const lost = [...this.#living].filter((incarnation) => !living.has(incarnation));
    this.#living = living;
    lost.forEach((incarnation) => {
      this.#lostListeners.forEach((listener) => listener(incarnation));
      this.#ledger.removeEntry(incarnation);
      this.run(this.#schedulers.each((scheduler) => scheduler.handleOwnerLoss(incarnation, now)));
    });
  }

  /** Also takes accounts back to their owner that were served by a share of the limits meanwhile. */
  #chooseOwners(now: number): void {
    this.#ownersCheckedAt = now;
    this.#cache.setLiveMemberCount(this.#members.length);
    const accounts = this.board.current()?.bundle.accounts ?? [];
    accounts.forEach(({ name }) => {
      const owner = rankMembers(`account/${name}`, this.#members)[0];
      if (owner !== undefined) this.run(this.#cache.setOwner(name, owner.incarnation, now));
    });
  }
}
