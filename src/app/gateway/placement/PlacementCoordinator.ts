import type { Logger } from 'pino';
import {
  PlacementScheduler,
  QuotaLimiter,
  type CandidateFilter,
  type EndpointLimits,
  type PlacementDecision,
} from '../../../coordination/gateway/index.ts';
import type {
  PlacementRefusalReason,
  PlacementResult,
  PlacementTicket,
} from '../../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import { endpointStartOf, type Account } from '../../../state/gateway/index.ts';
import { ChargeConfirmations } from './ChargeConfirmations.ts';
import type { CrashMonitor } from '../crashes/CrashMonitor.ts';
import { listEngineSpeeds } from './listEngineSpeeds.ts';
import { LocalTickets, withRemainingTimes, type PlacementAnswer } from './LocalTickets.ts';
import type { GatewayMetrics } from '../GatewayMetrics.ts';
import { logPlacementDecision } from './logPlacementDecision.ts';
import { refuseOverQuota } from './refuseOverQuota.ts';
import { partsOf, quarantineAnswer, refuseQuarantined } from '../crashes/refuseQuarantined.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { ownShare, schedulerShare } from './slotShares.ts';

/** Collaborators of a placement coordinator. */
export interface PlacementCoordinatorOptions {
  /** Returns the peer group, which is created later than the coordinator. */
  readonly group: () => PeerGroup;
  readonly quotas: QuotaLimiter;
  readonly limits: EndpointLimits;
  /** Selects the engines that a request may use by their versions. */
  readonly candidates?: CandidateFilter;
  readonly crashes: CrashMonitor;
  readonly findAccount: (name: string) => Account | undefined;
  /** Returns the version of the configuration in force; 0 before the first one. */
  readonly configurationVersion: () => number;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** Silence of the leader after which a gateway schedules its pending tickets itself. */
const LEADER_SILENCE_MS = 350;
/** Interval of the heartbeats from the leader to gateways that sent it tickets. */
const HEARTBEAT_INTERVAL_MS = 100;
/** Minimum interval between two runs of the scheduler. */
const MINIMUM_DECISION_INTERVAL_MS = 2;
/** Interval at which a gateway reports all its tickets, which repairs the effects of lost messages. */
const STATE_REPORT_INTERVAL_MS = 2_000;
/** Interval at which the leader sends the engine speed estimates that a successor would need. */
const ESTIMATES_INTERVAL_MS = 4_000;
/** Time for which a gateway receives heartbeats after its last request or state report. */
const REQUESTER_RETENTION_MS = 1_000;

/**
 * Obtains slots at model engines for the requests of this process. One gateway, the leader, schedules
 * for all. While it is unreachable, each gateway schedules its own requests within its share of the
 * slots. Every gateway can become the leader.
 */
export class PlacementCoordinator {
  readonly #options: PlacementCoordinatorOptions;

  /** Scheduler of this process: serves all gateways as the leader, otherwise only this one. */
  readonly scheduler: PlacementScheduler;

  readonly #tickets = new LocalTickets();

  /** Tickets that were admitted as trials of quarantined prompt parts. */
  readonly #trials = new Set<string>();

  readonly #charges = new ChargeConfirmations();

  /** Time of the last request or state report of each gateway, with its incarnation as the key. */
  readonly #requesters = new Map<string, number>();

  /** Incarnation of the gateway that schedules for all. */
  #leader = '';

  /**
   * Whether this process charges quotas: as the leader, while the leader is unreachable, or if other
   * gateways already send it their tickets because they learned first that it is the leader.
   */
  #isChargingQuotas = false;

  /** Time of the last message of the leader, or of the change of leader if that is later. */
  #leaderHeardAt = Number.NEGATIVE_INFINITY;

  #heartbeatSentAt = 0;

  #stateReportedAt = 0;

  #estimatesSentAt = 0;

  #decidedAt = Number.NEGATIVE_INFINITY;

  #decisionTimer: NodeJS.Timeout | undefined;

  constructor(options: PlacementCoordinatorOptions) {
    this.#options = options;
    this.scheduler = new PlacementScheduler(options.limits, options.candidates);
  }

  /**
   * Requests a slot at a model engine.
   *
   * @param ticket - describes the request
   * @param onAnswer - called once with the decision, possibly before this call returns; not called after
   *   `withdraw`
   */
  requestSlot(ticket: PlacementTicket, onAnswer: (answer: PlacementAnswer) => void): void {
    const now = this.#options.now();
    const group = this.#options.group();
    this.#updateLeader(now);
    const leader = this.#leader;
    const quarantine = this.#options.crashes.findQuarantine(ticket.service, partsOf(ticket));
    if (quarantine !== undefined) {
      onAnswer(quarantineAnswer(quarantine.retryAfterMs, group.incarnation));
      return;
    }
    this.#tickets.addPending({ ticket, requestedAt: now, onAnswer, scheduler: leader });
    if (leader === group.incarnation) {
      this.#enqueue(leader, ticket, 1, now);
      this.#decideWhenDue(now);
      return;
    }
    // The leader sends heartbeats only to gateways that sent it tickets recently, so that its silence
    // counts only while a ticket is unanswered.
    if (this.#isLeaderSilent(now) && this.#hasUnansweredTicket(now)) {
      this.#decideLocally(ticket.id, now);
      return;
    }
    const sent = group.send(leader, { _tag: 'placementRequest', tickets: [ticket] });
    if (!sent) this.#decideLocally(ticket.id, now);
  }

  /** Withdraws a pending ticket; no effect if it was already answered. */
  withdraw(id: string): void {
    if (!this.#tickets.withdraw(id)) return;
    this.scheduler.withdraw(id);
    this.#sendToLeader({ _tag: 'placementWithdraw', ids: [id] });
  }

  /**
   * Reports that the first token of a request has arrived.
   *
   * @param id - id of the ticket that holds the slot
   * @param firstTokenMs - time from sending the request to its first token
   */
  reportFirstToken(id: string, firstTokenMs: number): void {
    if (!this.#tickets.markStarted(id)) return;
    this.scheduler.recordFirstToken(id, firstTokenMs, this.#options.now());
    this.#sendToLeader({ _tag: 'placementStarted', id, firstTokenMs });
  }

  /**
   * Releases a slot.
   *
   * @param id - id of the ticket that holds the slot
   * @param result - how the request ended, from which the scheduler updates its estimates
   */
  releaseSlot(id: string, result: PlacementResult): void {
    if (!this.#tickets.release(id)) return;
    const now = this.#options.now();
    this.#recordEnd(id, result, now);
    this.#sendToLeader({ _tag: 'placementEnd', id, result });
    this.#decideWhenDue(now);
  }

  /** Returns the numbers of pending tickets and of held slots of this process. */
  countTickets(): { readonly waiting: number; readonly running: number } {
    return { waiting: this.#tickets.waitingCount, running: this.#tickets.heldCount };
  }

  /**
   * Runs the timers: follows a change of leader, sends heartbeats or state reports, and schedules
   * tickets that a silent leader did not answer. Call it periodically.
   */
  tick(): void {
    const now = this.#options.now();
    this.#updateLeader(now);
    if (this.#isLeader()) this.#tickLeader(now);
    else this.#tickFollower(now);
    this.#decideWhenDue(now);
    this.#charges
      .take((id) => this.scheduler.isWaiting(id))
      .forEach(({ owner, ids }) =>
        this.#options.group().send(owner, { _tag: 'placementQueued', ids }),
      );
  }

  /**
   * Processes a placement message of a peer; other messages are ignored.
   *
   * @param from - incarnation of the sender
   * @param message - the decoded message
   * @param now - present time in ms, monotonic
   */
  handle(from: string, message: PeerMessage, now: number): void {
    if (from === this.#leader) {
      this.#leaderHeardAt = now;
      this.#isChargingQuotas = false;
    }
    switch (message._tag) {
      case 'placementRequest':
        this.#noteRequester(from, now);
        this.#startChargingQuotas(now);
        message.tickets.forEach((ticket) =>
          this.#enqueue(from, ticket, schedulerShare(this.#options.group(), now), now),
        );
        this.#decideWhenDue(now);
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
      case 'placementQueued':
        this.#tickets.markQuotaCharged(message.ids);
        return;
      case 'placementWithdraw':
        message.ids.forEach((id) => this.scheduler.withdraw(id));
        return;
      case 'placementStarted':
        this.scheduler.recordFirstToken(message.id, message.firstTokenMs, now);
        return;
      case 'placementEnd':
        this.#recordEnd(message.id, message.result, now);
        this.#decideWhenDue(now);
        return;
      case 'placementState':
        this.#noteRequester(from, now);
        this.scheduler.reconcile(from, message.running, now);
        message.waiting.forEach((ticket) =>
          this.#enqueue(from, ticket, schedulerShare(this.#options.group(), now), now),
        );
        this.#decideWhenDue(now);
        return;
      case 'schedulerNotes':
        this.scheduler.seedSpeeds(message.engines);
        break;
      default:
    }
  }

  /** Drops the tickets and slots of a gateway that died or left, given by its incarnation. */
  removeMember(incarnation: string): void {
    if (incarnation === this.#options.group().incarnation) return;
    this.scheduler.removeOwner(incarnation);
    this.#requesters.delete(incarnation);
    this.#decideWhenDue(this.#options.now());
  }

  #isLeader(): boolean {
    return this.#leader === this.#options.group().incarnation;
  }

  /**
   * Follows a change of leader. If this process is the new leader, it schedules its pending tickets;
   * otherwise it withdraws them from its own scheduler and reports them to the new leader.
   */
  #updateLeader(now: number): void {
    const group = this.#options.group();
    const leader = group.leader();
    if (leader === this.#leader) return;
    const previousLeader = this.#leader;
    this.#leader = leader;
    this.#leaderHeardAt = now;
    this.#options.logger.info(
      { scheduler: leader, before: previousLeader, own: group.incarnation },
      'scheduler changed',
    );
    this.#isChargingQuotas = false;
    if (leader === group.incarnation) {
      this.#startChargingQuotas(now);
      this.#tickets.listPending().forEach((entry) => {
        entry.scheduler = leader;
        this.#enqueue(leader, withRemainingTimes(entry, now), 1, now);
      });
      return;
    }
    this.scheduler.removeOtherOwners(group.incarnation);
    this.#tickets.listPending().forEach((entry) => {
      entry.scheduler = leader;
      this.scheduler.withdraw(entry.ticket.id);
    });
    this.#reportState(now);
  }

  #tickLeader(now: number): void {
    const group = this.#options.group();
    this.scheduler.setSlotAllocation({ share: schedulerShare(this.#options.group(), now) });
    if (now - this.#heartbeatSentAt >= HEARTBEAT_INTERVAL_MS) {
      this.#heartbeatSentAt = now;
      const message: PeerMessage = {
        _tag: 'schedulerAlive',
        configurationVersion: this.#options.configurationVersion(),
      };
      this.#requesters.forEach((at, incarnation) => {
        if (now - at > REQUESTER_RETENTION_MS) this.#requesters.delete(incarnation);
        else group.send(incarnation, message);
      });
    }
    if (now - this.#estimatesSentAt < ESTIMATES_INTERVAL_MS) return;
    this.#estimatesSentAt = now;
    const engines = listEngineSpeeds(this.scheduler.engines());
    if (engines.length > 0) group.broadcast({ _tag: 'schedulerNotes', engines });
  }

  #tickFollower(now: number): void {
    this.scheduler.setSlotAllocation({ share: ownShare(this.#options.group(), now) });
    if (
      now - this.#stateReportedAt >= STATE_REPORT_INTERVAL_MS &&
      this.#tickets.heldCount + this.#tickets.waitingCount > 0
    ) {
      this.#reportState(now);
    }
    if (!this.#isLeaderSilent(now)) return;
    this.#tickets
      .listPending()
      .filter(
        ({ requestedAt, scheduler }) =>
          scheduler === this.#leader && now - requestedAt >= LEADER_SILENCE_MS,
      )
      .forEach(({ ticket }) => this.#decideLocally(ticket.id, now));
  }

  #isLeaderSilent(now: number): boolean {
    return now - this.#leaderHeardAt > LEADER_SILENCE_MS;
  }

  /** Whether a ticket has been pending for longer than `LEADER_SILENCE_MS`. */
  #hasUnansweredTicket(now: number): boolean {
    return this.#tickets
      .listPending()
      .some(({ requestedAt }) => now - requestedAt > LEADER_SILENCE_MS);
  }

  #decideLocally(id: string, now: number): void {
    const pending = this.#tickets.findPending(id);
    if (pending === undefined) return;
    const own = this.#options.group().incarnation;
    this.#startChargingQuotas(now);
    this.#options.crashes.decideQuarantine();
    pending.scheduler = own;
    const share = ownShare(this.#options.group(), now);
    this.scheduler.setSlotAllocation({ share });
    this.#options.logger.warn(
      { ticket: id, scheduler: this.#leader, silentMs: Math.round(now - this.#leaderHeardAt) },
      'scheduler is silent; deciding alone',
    );
    this.#enqueue(own, withRemainingTimes(pending, now), share, now);
    this.#decideWhenDue(now);
  }

  /**
   * Starts with empty buckets of quotas and of endpoints' limits, because another process may have charged
   * them until now.
   */
  #startChargingQuotas(now: number): void {
    if (this.#isChargingQuotas) return;
    this.#isChargingQuotas = true;
    this.#options.quotas.reset(now);
    this.#options.limits.reset(now);
  }

  #enqueue(owner: string, ticket: PlacementTicket, share: number, now: number): void {
    if (this.scheduler.hasTicket(ticket.id)) return;
    const { service, avoid } = ticket;
    const isFirst = avoid.length === 0;
    const admission = this.#options.crashes.decideRequest(service, partsOf(ticket), isFirst);
    if (admission._tag === 'refused') {
      this.#deliverDecision(refuseQuarantined({ owner, ticket }, admission.retryAfterMs));
      return;
    }
    if (admission._tag === 'trial') this.#trials.add(ticket.id);
    const account =
      ticket.account === undefined ? undefined : this.#options.findAccount(ticket.account);
    if (account !== undefined && ticket.quotaUnits > 0) {
      const waitMs = this.#options.quotas.take(account, ticket.quotaUnits, share, now);
      if (waitMs > 0) {
        this.#deliverDecision(refuseOverQuota(owner, ticket, waitMs));
        return;
      }
    }
    this.scheduler.enqueue(owner, ticket, now);
    if (owner !== this.#options.group().incarnation && ticket.quotaUnits > 0)
      this.#charges.add(owner, ticket.id);
  }

  /** Runs the scheduler now, or after the minimum interval: under load one run serves many messages. */
  #decideWhenDue(now: number): void {
    if (this.#decisionTimer !== undefined) return;
    if (now - this.#decidedAt < MINIMUM_DECISION_INTERVAL_MS) {
      this.#decisionTimer = setTimeout(() => {
        this.#decisionTimer = undefined;
        this.#decideNow(this.#options.now());
      }, MINIMUM_DECISION_INTERVAL_MS);
      return;
    }
    this.#decideNow(now);
  }

  #decideNow(now: number): void {
    this.#decidedAt = now;
    this.scheduler
      .schedule(now)
      .forEach((decision) => this.#deliverDecision(this.#withQuarantine(decision, now)));
  }

  /** Refuses a grant whose prompt has come under quarantine while it waited. */
  #withQuarantine(decision: PlacementDecision, now: number): PlacementDecision {
    const { ticket } = decision;
    if (decision._tag === 'refuse' || this.#trials.has(ticket.id)) return decision;
    const quarantine = this.#options.crashes.findQuarantine(ticket.service, partsOf(ticket));
    if (quarantine === undefined) return decision;
    this.scheduler.recordEnd(ticket.id, { outcome: 'unused' }, now);
    return refuseQuarantined(decision, quarantine.retryAfterMs);
  }

  #recordEnd(id: string, result: PlacementResult, now: number): void {
    const running = this.scheduler.findRunning(id);
    const backoff = this.scheduler.recordEnd(id, result, now);
    if (backoff !== undefined)
      this.#options.logger.info({ ...backoff, outcome: result.outcome }, 'engine backed off');
    this.#trials.delete(id);
    if (running === undefined || result.outcome !== 'served') return;
    const { ticket, record } = running;
    this.#options.crashes.recordServed(ticket.service, endpointStartOf(record), partsOf(ticket));
  }

  #noteRequester(incarnation: string, now: number): void {
    if (!this.#requesters.has(incarnation)) this.#options.crashes.welcome(incarnation);
    this.#requesters.set(incarnation, now);
  }

  #deliverDecision(decision: PlacementDecision): void {
    const { ticket, owner } = decision;
    const { metrics, logger } = this.#options;
    const group = this.#options.group();
    const isOwn = owner === group.incarnation;
    metrics.countPlacement(ticket.route, decision._tag === 'grant' ? 'grant' : decision.reason);
    logPlacementDecision(logger, decision, this.scheduler.waitingCount);
    if (decision._tag === 'grant') {
      const { endpoint } = decision;
      if (isOwn) this.#occupySlot(ticket.id, endpoint, owner);
      else group.send(owner, { _tag: 'placementGrant', id: ticket.id, endpoint });
      return;
    }
    const { reason, retryAfterMs } = decision;
    this.#trials.delete(ticket.id);
    this.#refundQuota(ticket, reason);
    if (isOwn) {
      this.#tickets.answer(ticket.id, { _tag: 'refused', reason, retryAfterMs, decidedBy: owner });
    } else {
      group.send(owner, { _tag: 'placementRefusal', id: ticket.id, reason, retryAfterMs });
    }
  }

  #refundQuota(ticket: PlacementTicket, reason: PlacementRefusalReason): void {
    if (reason === 'quota' || ticket.quotaUnits === 0 || ticket.account === undefined) return;
    this.#options.quotas.refund(ticket.account, ticket.quotaUnits, this.#options.now());
  }

  #onGrant(from: string, id: string, endpoint: string, now: number): void {
    const pending = this.#tickets.findPending(id);
    // The ticket was withdrawn or decided, or this process now schedules it itself: the slot is unused.
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
    this.#occupySlot(id, endpoint, from);
  }

  #occupySlot(id: string, endpoint: string, grantedBy: string): void {
    const now = this.#options.now();
    if (this.#tickets.grant(id, endpoint, grantedBy, now)) return;
    this.scheduler.recordEnd(id, { outcome: 'unused' }, now);
  }

  #reportState(now: number): void {
    this.#stateReportedAt = now;
    const own = this.#options.group().incarnation;
    this.#sendToLeader({
      _tag: 'placementState',
      running: this.#tickets.listHeld(now),
      waiting: this.#tickets
        .listPending()
        .filter(({ scheduler }) => scheduler !== own)
        .map((pending) => withRemainingTimes(pending, now)),
    });
  }

  #sendToLeader(message: PeerMessage): void {
    if (!this.#isLeader()) this.#options.group().send(this.#leader, message);
  }
}
