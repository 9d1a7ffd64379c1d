import { randomBytes } from 'node:crypto';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Logger } from 'pino';
import { ConfigurationReplica, isRelay } from '../coordination/configuration/index.ts';
import {
  ClockGuard,
  Home,
  Inquiry,
  OwnIncarnations,
  SchedulerChoice,
} from '../coordination/home/index.ts';
import type { HomeStep } from '../coordination/home/index.ts';
import { QuotaCache, QuotaLedger } from '../coordination/limits/index.ts';
import { Membership, rankMembers } from '../coordination/membership/index.ts';
import type { EntryAddress } from '../protocol/caller/CallerRequest.ts';
import type { EndpointClient } from '../protocol/engine/EndpointClient.ts';
import type { PeerNetwork } from '../protocol/peer/PeerNetwork.ts';
import type { Endpoint } from '../state/Endpoint.ts';
import type { Member } from '../state/Member.ts';
import type { Outcome, RequestStatus } from '../state/Outcome.ts';
import type { Settings } from '../state/Settings.ts';
import { EndpointCalls } from './EndpointCalls.ts';
import { listEntryAddresses } from './listEntryAddresses.ts';
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
export interface EntryOptions {
  readonly settings: Settings;
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
  readonly settings: Settings;

  readonly metrics = new Metrics();

  readonly configurationReplica: ConfigurationReplica;

  readonly membership: Membership;

  readonly home: Home;

  readonly endpointCalls: EndpointCalls;

  readonly inquiry: Inquiry;

  readonly random: RandomGenerator;

  readonly incarnations = new OwnIncarnations(createIncarnation());

  /** Takes the evidence that a release holds; set once moves are driven. */
  recordRelease: Parameters<typeof routePeerMessage>[0]['recordRelease'] | undefined;

  draining = false;

  readonly #parts: EntryOptions;

  readonly #schedulers: PoolSchedulers;

  readonly #ledger = new QuotaLedger();

  readonly #cache: QuotaCache;

  readonly #choice = new SchedulerChoice();

  readonly #clockGuard: ClockGuard;

  readonly #queue: HomeStep[] = [];

  readonly #lostListeners: ((incarnation: string) => void)[] = [];

  #working = false;

  #left = false;

  #appliedKey = '';

  #members: readonly Member[] = [];

  #living: ReadonlySet<string> = new Set();

  #ownersCheckedAt = 0;

  /** @param parts - settings, links and clocks */
  constructor(parts: EntryOptions) {
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
    this.configurationReplica = new ConfigurationReplica(this.#identity(), this.random);
    this.#cache = new QuotaCache({
      self: this.incarnation,
      policy: settings.policy.accountLimits,
    });
    this.#clockGuard = new ClockGuard(now(), wallNow());
    this.#schedulers = new PoolSchedulers(settings, client, now);
    this.endpointCalls = this.#createCalls(client);
    this.home = new Home({
      incarnation: self,
      mayDispatch: (at) => this.#mayDispatch(at),
      mayServe: (pool, version) => this.#mayServe(pool, version),
      scheduler: (pool, at, excluded) => this.#chooseScheduler(pool, at, excluded),
      acquireQuota: (account, tokens, at) => this.#cache.acquire(account, tokens, at),
      releaseQuota: (account, used, counted, at) => this.#cache.release(account, used, at, counted),
      retryAfter: () => this.chooseRetryAfterMs(),
    });
    const { incarnationLeaseMs, incarnationLeaseMarginMs } = settings.timing;
    this.inquiry = new Inquiry({
      incarnation: self,
      members: () => this.membership.members(),
      silentMs: (incarnation, at) => at - (this.membership.heardAt(incarnation) ?? -Infinity),
      silenceNeededMs: incarnationLeaseMs + incarnationLeaseMarginMs,
      findLocally: (id, at) =>
        this.#schedulers.findRequest(id, this.#mayBeAlive(id.split('.', 1)[0] ?? '', at)),
      retryAfter: () => this.chooseRetryAfterMs(),
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
  chooseRetryAfterMs(): number {
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
      this.execute(routePeerMessage(this.#machines(), delivery, this.now()));
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
    this.execute(this.membership.join(others, this.now()));
  }

  /**
   * Carries steps out in order; what they bring about in this process comes after them.
   *
   * @param steps - what machines decided
   */
  execute(steps: readonly HomeStep[]): void {
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
    const retryAfterMs = this.chooseRetryAfterMs();
    return { _tag: 'ended', outcome: { _tag: 'notRun', reason: 'entry_lost', retryAfterMs } };
  }

  /** Lets every machine act on passed time. */
  tick(): void {
    const now = this.now();
    this.#sealIfLapsed(now);
    this.execute(this.membership.tick(now));
    this.#refreshMembers();
    this.execute(this.configurationReplica.tick(now, this.membership.serving()));
    this.refreshConfiguration();
    this.execute(this.#schedulers.tick(now));
    this.#ledger.tick(now);
    this.execute(this.#cache.tick(now));
    this.execute(this.home.tick(now, (id) => this.incarnations.forgets(id, this.wallNow())));
    this.execute(this.inquiry.tick(now));
  }

  /** Applies configuration, verdicts and leaving endpoints where they have changed. */
  refreshConfiguration(): void {
    const now = this.now();
    const configuration = this.configurationReplica.current();
    if (configuration === undefined) return;
    const routings = this.configurationReplica.routings(now, this.#parts.wallNow());
    const leaving = this.configurationReplica.leavingAddresses();
    const key = JSON.stringify([configuration.rollNumber, [...routings.values()], [...leaving]]);
    if (key === this.#appliedKey) return;
    this.#appliedKey = key;
    const { bundle } = configuration;
    this.#ledger.configure(bundle.accounts, now);
    this.#cache.configure(bundle, now);
    this.#chooseOwners(now);
    this.execute(this.#schedulers.configure({ bundle, routings, leaving }, now));
  }

  /** @returns addresses for callers, spread over failure domains, this process first */
  entryAddresses(): readonly EntryAddress[] {
    return listEntryAddresses(this.membership.serving(), this.wallNow());
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
    return isRelay(this.incarnation, this.settings.failureDomain, this.membership.serving());
  }

  /** Stops taking new requests; what waits and runs is served to its end. */
  drain(): void {
    if (this.draining) return;
    this.draining = true;
    this.execute(this.membership.drain(this.now()));
    this.#refreshMembers();
  }

  /** Tells peers that this process goes for good. */
  leave(): void {
    this.#left = true;
    this.execute(this.membership.leave(this.now()));
  }

  /** @returns present values for a scrape */
  gauges(): Parameters<Metrics['render']>[0] {
    return {
      requests: this.home.size,
      members: this.membership.alive().length,
      rollNumber: this.configurationReplica.current()?.rollNumber ?? 0,
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
      progressed: (id) => this.home.progressed(id, this.now()),
      completed: (id, usage, result) => {
        const counted = usage ?? { promptTokens: 0, cachedTokens: 0, outputTokens: 0 };
        this.execute(this.home.completed(id, counted, result, this.now()));
      },
      failed: (id, reason) => this.execute(this.home.failed(id, reason, this.now())),
      refused: (id) => this.execute(this.home.endpointRefused(id, this.now())),
    });
  }

  #machines(): Parameters<typeof routePeerMessage>[0] {
    return {
      membership: this.membership,
      home: this.home,
      schedulers: this.#schedulers,
      quotaLedger: this.#ledger,
      quotaCache: this.#cache,
      configurationReplica: this.configurationReplica,
      inquiry: this.inquiry,
      statusOf: (id) => this.statusOf(id),
      mayBeAlive: (incarnation, now) => this.#mayBeAlive(incarnation, now),
      recordRelease: (from, release, now) => this.recordRelease?.(from, release, now) ?? [],
    };
  }

  #carryOut(step: HomeStep): void {
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
        this.endpointCalls.cancel(step.id);
        return;
      case 'suspendCall':
        this.endpointCalls.suspend(step.id);
        return;
      case 'resumeCall':
        this.endpointCalls.resume(step.id);
        return;
      case 'finish':
        this.#finish(step.id, step.outcome);
        return;
      default:
        step satisfies never;
    }
  }

  #send({ to, message }: Extract<HomeStep, { _tag: 'send' }>): void {
    const now = this.now();
    if (to === this.incarnation) {
      this.#queue.push(...routePeerMessage(this.#machines(), { from: to, message }, now));
      return;
    }
    const member = this.membership.find(to);
    this.metrics.countMessage(message._tag, 'sent');
    const sent = member !== undefined && this.#parts.network.send(member.peerAddress, message);
    if (sent) return;
    this.#choice.unreachable(to, now);
    if (message._tag === 'quotaRequest') {
      this.#cache.ownerUnreachable(message.account, this.#members.length, now);
      this.execute(this.home.retryLimited(message.account, now));
    }
  }

  #dispatch({ request, grant }: Extract<HomeStep, { _tag: 'dispatch' }>): void {
    const endpoint = this.#findEndpoint(grant.endpoint);
    if (endpoint === undefined) {
      this.execute(this.home.endpointRefused(request.id, this.now()));
      return;
    }
    const { address, version, pool } = endpoint;
    const engine =
      this.configurationReplica.current()?.bundle.pools.find(({ name }) => name === pool)?.kind
        ._tag === 'model';
    this.endpointCalls.start(request.id, {
      address,
      version,
      idempotent: request.idempotent,
      engine,
    });
  }

  #finish(id: string, outcome: Outcome): void {
    const answer = this.endpointCalls.find(id)?.answer;
    this.endpointCalls.unregister(id);
    if (answer === undefined) return;
    switch (outcome._tag) {
      case 'completed':
        return;
      case 'notRun':
        answer.tellNotRun(outcome.reason, outcome.retryAfterMs);
        return;
      case 'unknown':
        if (answer.started()) answer.cut(outcome.reason);
        else answer.tellUnknown(outcome.reason);
        return;
      default:
        outcome satisfies never;
    }
  }

  #findEndpoint(name: string): Endpoint | undefined {
    return this.configurationReplica
      .current()
      ?.bundle.endpoints.find((endpoint) => endpoint.name === name);
  }

  #mayDispatch(now: number): boolean {
    if (this.#clockGuard.stoodStill(now, this.#parts.wallNow())) return false;
    return this.membership.lease(now)._tag !== 'lapsed';
  }

  #mayServe(pool: string, version: string): boolean {
    const routing = this.configurationReplica.routings(this.now(), this.#parts.wallNow()).get(pool);
    return routing === undefined || !routing.condemned.includes(version);
  }

  #mayBeAlive(incarnation: string, now: number): boolean {
    if (incarnation === this.incarnation) return true;
    const { incarnationLeaseMs, incarnationLeaseMarginMs } = this.settings.timing;
    const heardAt = this.membership.heardAt(incarnation) ?? -Infinity;
    return now - heardAt < incarnationLeaseMs + incarnationLeaseMarginMs;
  }

  /** Ends an incarnation that peers may have given up, before it could dispatch anything more. */
  #sealIfLapsed(now: number): void {
    // Leaving ends the lease too, and nothing is to follow this incarnation then.
    if (this.#left || this.#mayDispatch(now)) return;
    this.execute(this.home.endWaiting('entry_lost', now));
    this.#clockGuard.accept(now, this.#parts.wallNow());
    this.incarnations.replace(createIncarnation());
    this.execute(this.membership.restart(this.incarnation, now));
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
      .serving()
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
    const living = new Set(this.membership.alive().map(({ incarnation }) => incarnation));
    const lost = [...this.#living].filter((incarnation) => !living.has(incarnation));
    this.#living = living;
    lost.forEach((incarnation) => {
      this.#lostListeners.forEach((listener) => listener(incarnation));
      this.#ledger.homeLost(incarnation);
      this.execute(
        this.#schedulers.useAllSchedulers((scheduler) => scheduler.homeLost(incarnation, now)),
      );
    });
  }

  /** Also takes accounts back to their owner that were served by a share of the limits meanwhile. */
  #chooseOwners(now: number): void {
    this.#ownersCheckedAt = now;
    this.#cache.setLiveMembers(this.#members.length);
    const accounts = this.configurationReplica.current()?.bundle.accounts ?? [];
    accounts.forEach(({ name }) => {
      const owner = rankMembers(`account/${name}`, this.#members)[0];
      if (owner !== undefined) this.execute(this.#cache.ownerChanged(name, owner.incarnation, now));
    });
  }
}
