import type { Logger } from 'pino';
import {
  PlacementScheduler,
  QuotaMeter,
  type PlacementDecision,
} from '../../coordination/gateway/index.ts';
import { computeRetryAfterMs } from '../../coordination/scheduling/retryAfter.ts';
import type {
  PlacementRefusal,
  PlacementResult,
  PlacementTicket,
} from '../../protocol/peer/Placement.ts';
import type { PeerMessage } from '../../protocol/peer/PeerMessage.ts';
import type { Account } from '../../state/gateway/index.ts';
import { DeskTickets, withRemainingTimes, type PlacementAnswer } from './DeskTickets.ts';
import type { GatewayMetrics } from './GatewayMetrics.ts';
import { logPlacement } from './logPlacement.ts';
import type { PeerGroup } from './PeerGroup.ts';

/** What a desk is made of. */
export interface PlacementDeskOptions {
  readonly group: () => PeerGroup;
  readonly quotas: QuotaMeter;
  readonly findAccount: (name: string) => Account | undefined;
  readonly configurationVersion: () => number;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  readonly now: () => number;
}

/** Silence of the scheduler after which a waiting request is decided here. */
const SCHEDULER_SILENCE_MS = 350;
/** How often the scheduler gives a sign of life to those who wait. */
const ALIVE_INTERVAL_MS = 100;
/** Closest that two runs of the scheduler follow each other. */
const DECIDE_INTERVAL_MS = 2;
/** How often a gateway states all that it runs, which mends what lost messages left behind. */
const STATE_INTERVAL_MS = 2_000;
/** How often the scheduler tells the others what one of them would need to take over. */
const NOTES_INTERVAL_MS = 4_000;
/** Time in which a gateway that asked something hears signs of life. */
const INTERESTED_MS = 1_000;

/**
 * Gets slots at model engines for the requests of this process. One gateway schedules for all; where
 * it can't be reached, each decides alone within its share. Every process can be the scheduler.
 */
export class PlacementDesk {
  readonly #options: PlacementDeskOptions;

  readonly scheduler = new PlacementScheduler();

  readonly #tickets = new DeskTickets();

  readonly #interested = new Map<string, number>();

  #leader = '';

  /** Whether quotas are counted here: as the scheduler, alone, or for those who take this process for it. */
  #isCounting = false;

  #leaderHeardAt = Number.NEGATIVE_INFINITY;

  #aliveSentAt = 0;

  #stateSentAt = 0;

  #notesSentAt = 0;

  #decidedAt = Number.NEGATIVE_INFINITY;

  #decideTimer: NodeJS.Timeout | undefined;

  constructor(options: PlacementDeskOptions) {
    this.#options = options;
  }

  /** Asks for a slot; the answer may come within this call. */
  requestSlot(ticket: PlacementTicket, onAnswer: (answer: PlacementAnswer) => void): void {
    const now = this.#options.now();
    const group = this.#options.group();
    this.#followLeader(now);
    const leader = this.#leader;
    this.#tickets.add({ ticket, askedAt: now, onAnswer, scheduler: leader });
    if (leader === group.incarnation) {
      this.#enqueue(leader, ticket, 1, now);
      this.#decide(now);
      return;
    }
    if (this.#isSilent(now) && this.#hasWaitedLong(now)) {
      this.#decideAlone(ticket.id, now);
      return;
    }
    const sent = group.send(leader, { _tag: 'placementRequest', tickets: [ticket] });
    if (!sent) this.#decideAlone(ticket.id, now);
  }

  /** Takes a ticket back that wasn't answered yet. */
  withdraw(id: string): void {
    if (!this.#tickets.withdraw(id)) return;
    this.scheduler.withdraw(id);
    this.#tellLeader({ _tag: 'placementWithdraw', ids: [id] });
  }

  /** Notes the first token of a request. */
  reportFirstToken(id: string, firstTokenMs: number): void {
    if (!this.#tickets.markStarted(id)) return;
    this.scheduler.recordFirstToken(id, firstTokenMs, this.#options.now());
    this.#tellLeader({ _tag: 'placementStarted', id, firstTokenMs });
  }

  /** Gives a slot back. */
  releaseSlot(id: string, result: PlacementResult): void {
    if (!this.#tickets.release(id)) return;
    const now = this.#options.now();
    this.scheduler.recordEnd(id, result, now);
    this.#tellLeader({ _tag: 'placementEnd', id, result });
    this.#decide(now);
  }

  /** Counts of tickets that wait and of slots that are held. */
  counts(): { readonly waiting: number; readonly running: number } {
    return { waiting: this.#tickets.waitingCount, running: this.#tickets.heldCount };
  }

  /** Does what is due. */
  tick(): void {
    const now = this.#options.now();
    this.#followLeader(now);
    if (this.#isLeader()) {
      this.#tickLeader(now);
    } else {
      this.#tickFollower(now);
    }
    this.#decide(now);
  }

  /** Takes a message of a peer. */
  handle(from: string, message: PeerMessage, now: number): void {
    if (from === this.#leader) {
      this.#leaderHeardAt = now;
      this.#isCounting = false;
    }
    switch (message._tag) {
      case 'placementRequest':
        this.#interested.set(from, now);
        this.#beginCounting(now);
        message.tickets.forEach((ticket) => this.#enqueue(from, ticket, this.#share(now), now));
        this.#decide(now);
        return;
      case 'placementGrant':
        this.#onGrant(from, message.id, message.endpoint, now);
        return;
      case 'placementRefusal':
        this.#tickets.answer(message.id, {
          _tag: 'refused',
          reason: message.reason,
          retryAfterMs: message.retryAfterMs,
          decidedBy: from,
        });
        return;
      case 'placementWithdraw':
        message.ids.forEach((id) => this.scheduler.withdraw(id));
        return;
      case 'placementStarted':
        this.scheduler.recordFirstToken(message.id, message.firstTokenMs, now);
        return;
      case 'placementEnd':
        this.scheduler.recordEnd(message.id, message.result, now);
        this.#decide(now);
        return;
      case 'placementState':
        this.#interested.set(from, now);
        this.scheduler.reconcile(from, message.running, now);
        message.waiting.forEach((ticket) => this.#enqueue(from, ticket, this.#share(now), now));
        this.#decide(now);
        return;
      case 'schedulerNotes':
        this.scheduler.adoptSpeeds(message.engines);
        break;
      default:
    }
  }

  /** Forgets what a gateway held that is gone. */
  memberEnded(incarnation: string): void {
    if (incarnation === this.#options.group().incarnation) return;
    this.scheduler.drop(incarnation);
    this.#interested.delete(incarnation);
    this.#decide(this.#options.now());
  }

  #isLeader(): boolean {
    return this.#leader === this.#options.group().incarnation;
  }

  #followLeader(now: number): void {
    const group = this.#options.group();
    const leader = group.scheduler();
    if (leader === this.#leader) return;
    const wasLeader = this.#leader;
    this.#tickets.markCounted(this.#leader, this.#leaderHeardAt);
    this.#leader = leader;
    this.#leaderHeardAt = now;
    this.#options.logger.info(
      { scheduler: leader, before: wasLeader, own: group.incarnation },
      'scheduler changed',
    );
    this.#isCounting = false;
    if (leader === group.incarnation) {
      this.#beginCounting(now);
      this.#tickets.listPending().forEach((entry) => {
        entry.scheduler = leader;
        this.#enqueue(leader, withRemainingTimes(entry, now), 1, now);
      });
      return;
    }
    this.scheduler.keepOnly(group.incarnation);
    this.#tickets.listPending().forEach((entry) => {
      entry.scheduler = leader;
      this.scheduler.withdraw(entry.ticket.id);
    });
    this.#sendState(now);
  }

  #tickLeader(now: number): void {
    const group = this.#options.group();
    this.scheduler.setScope({ share: this.#share(now) });
    if (now - this.#aliveSentAt >= ALIVE_INTERVAL_MS) {
      this.#aliveSentAt = now;
      const message: PeerMessage = {
        _tag: 'schedulerAlive',
        configurationVersion: this.#options.configurationVersion(),
      };
      this.#interested.forEach((at, incarnation) => {
        if (now - at > INTERESTED_MS) this.#interested.delete(incarnation);
        else group.send(incarnation, message);
      });
    }
    if (now - this.#notesSentAt < NOTES_INTERVAL_MS) return;
    this.#notesSentAt = now;
    const engines = this.scheduler
      .engines()
      .filter(({ estimate }) => estimate.samples > 0)
      .map(({ record, estimate }) => ({
        endpoint: record.id,
        readMsPerToken: estimate.readMsPerToken,
        decodeMsPerToken: estimate.decodeMsPerToken,
      }));
    if (engines.length > 0) group.broadcast({ _tag: 'schedulerNotes', engines });
  }

  #tickFollower(now: number): void {
    this.scheduler.setScope({ share: this.#ownShare(now) });
    if (
      now - this.#stateSentAt >= STATE_INTERVAL_MS &&
      this.#tickets.heldCount + this.#tickets.waitingCount > 0
    ) {
      this.#sendState(now);
    }
    if (!this.#isSilent(now)) return;
    this.#tickets
      .listPending()
      .filter(
        ({ askedAt, scheduler: asked }) =>
          asked === this.#leader && now - askedAt >= SCHEDULER_SILENCE_MS,
      )
      .forEach(({ ticket }) => this.#decideAlone(ticket.id, now));
  }

  #isSilent(now: number): boolean {
    return now - this.#leaderHeardAt > SCHEDULER_SILENCE_MS;
  }

  /** Whether the scheduler had the chance to answer something and didn't. */
  #hasWaitedLong(now: number): boolean {
    return this.#tickets.listPending().some(({ askedAt }) => now - askedAt > SCHEDULER_SILENCE_MS);
  }

  /** Part of the engines that the scheduler of all may use: what may be used by those cut off is left. */
  #share(now: number): number {
    const group = this.#options.group();
    const alive = Math.max(1, group.alive().length);
    const cutOff = group.cutOff(now).length;
    return alive / (alive + cutOff);
  }

  #ownShare(now: number): number {
    const group = this.#options.group();
    return 1 / Math.max(1, group.alive().length + group.cutOff(now).length);
  }

  #decideAlone(id: string, now: number): void {
    const pending = this.#tickets.findPending(id);
    if (pending === undefined) return;
    const own = this.#options.group().incarnation;
    this.#beginCounting(now);
    pending.scheduler = own;
    const share = this.#ownShare(now);
    this.scheduler.setScope({ share });
    this.#options.logger.warn(
      { ticket: id, scheduler: this.#leader, silentMs: Math.round(now - this.#leaderHeardAt) },
      'scheduler is silent; deciding alone',
    );
    this.#enqueue(own, withRemainingTimes(pending, now), share, now);
    this.#decide(now);
  }

  /** Another process may have counted until now, so that nothing is known to be left of any quota. */
  #beginCounting(now: number): void {
    if (this.#isCounting) return;
    this.#isCounting = true;
    this.#tickets.markCounted(this.#leader, this.#leaderHeardAt);
    this.#options.quotas.reset(now);
  }

  #enqueue(owner: string, ticket: PlacementTicket, share: number, now: number): void {
    if (this.scheduler.has(ticket.id)) return;
    const account =
      ticket.account === undefined ? undefined : this.#options.findAccount(ticket.account);
    if (account !== undefined && ticket.quotaUnits > 0) {
      const waitMs = this.#options.quotas.take(account, ticket.quotaUnits, share, now);
      if (waitMs > 0) {
        this.#report({
          _tag: 'refuse',
          owner,
          ticket,
          reason: 'quota',
          waitedMs: 0,
          expectedWaitMs: waitMs,
          retryAfterMs: computeRetryAfterMs(ticket.id, waitMs),
        });
        return;
      }
    }
    this.scheduler.enqueue(owner, ticket, now);
  }

  /** Decides now, or soon where it was just done: under load one run serves many messages. */
  #decide(now: number): void {
    if (this.#decideTimer !== undefined) return;
    if (now - this.#decidedAt < DECIDE_INTERVAL_MS) {
      this.#decideTimer = setTimeout(() => {
        this.#decideTimer = undefined;
        this.#run(this.#options.now());
      }, DECIDE_INTERVAL_MS);
      return;
    }
    this.#run(now);
  }

  #run(now: number): void {
    this.#decidedAt = now;
    this.scheduler.schedule(now).forEach((decision) => this.#report(decision));
  }

  #report(decision: PlacementDecision): void {
    const { ticket, owner } = decision;
    const { metrics, logger } = this.#options;
    const group = this.#options.group();
    const isOwn = owner === group.incarnation;
    metrics.countPlacement(ticket.route, decision._tag === 'grant' ? 'grant' : decision.reason);
    logPlacement(logger, decision, this.scheduler.waitingCount);
    if (decision._tag === 'grant') {
      const { endpoint } = decision;
      if (isOwn) this.#hold(ticket.id, endpoint, owner);
      else group.send(owner, { _tag: 'placementGrant', id: ticket.id, endpoint });
      return;
    }
    const { reason, retryAfterMs } = decision;
    this.#refund(ticket, reason);
    if (isOwn) {
      this.#tickets.answer(ticket.id, { _tag: 'refused', reason, retryAfterMs, decidedBy: owner });
    } else {
      group.send(owner, { _tag: 'placementRefusal', id: ticket.id, reason, retryAfterMs });
    }
  }

  #refund(ticket: PlacementTicket, reason: PlacementRefusal): void {
    if (reason === 'quota' || ticket.quotaUnits === 0 || ticket.account === undefined) return;
    this.#options.quotas.refund(ticket.account, ticket.quotaUnits, this.#options.now());
  }

  #onGrant(from: string, id: string, endpoint: string, now: number): void {
    const pending = this.#tickets.findPending(id);
    if (pending === undefined || pending.scheduler === this.#options.group().incarnation) {
      this.#options.group().send(from, {
        _tag: 'placementEnd',
        id,
        result: { outcome: 'unused' },
      });
      return;
    }
    this.scheduler.reconcile(
      this.#options.group().incarnation,
      [
        ...this.#tickets.listHeld(now),
        { ticket: pending.ticket, endpoint, ageMs: 0, started: false },
      ],
      now,
    );
    this.#hold(id, endpoint, from);
  }

  #hold(id: string, endpoint: string, by: string): void {
    const now = this.#options.now();
    if (this.#tickets.grant(id, endpoint, by, now)) return;
    this.scheduler.recordEnd(id, { outcome: 'unused' }, now);
  }

  #sendState(now: number): void {
    this.#stateSentAt = now;
    const own = this.#options.group().incarnation;
    this.#tellLeader({
      _tag: 'placementState',
      running: this.#tickets.listHeld(now),
      waiting: this.#tickets
        .listPending()
        .filter(({ scheduler: asked }) => asked !== own)
        .map((pending) => withRemainingTimes(pending, now)),
    });
  }

  #tellLeader(message: PeerMessage): void {
    if (!this.#isLeader()) this.#options.group().send(this.#leader, message);
  }
}
