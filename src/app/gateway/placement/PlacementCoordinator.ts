import { PlacementScheduler, type PlacementDecision } from '../../../coordination/gateway/index.ts';
import type { PlacementResult, PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import { endpointStartOf } from '../../../state/gateway/index.ts';
import { ChargeConfirmations } from './ChargeConfirmations.ts';
import { DecisionTimer } from './DecisionTimer.ts';
import { CapGuard, grantTransitMs, type ReceivedGrant } from './CapGuard.ts';
import {
  LocalTickets,
  withRemainingTimes,
  type PendingTicket,
  type PlacementAnswer,
} from './LocalTickets.ts';
import { logPlacementDecision } from './logPlacementDecision.ts';
import { refuseOverQuota } from './refuseOverQuota.ts';
import { QuarantineGate } from '../crashes/QuarantineGate.ts';
import { partsOf, quarantineAnswer, refuseQuarantined } from '../crashes/refuseQuarantined.ts';
import type { PlacementCoordinatorOptions } from './PlacementCoordinatorOptions.ts';
import { SchedulerHeartbeat } from './SchedulerHeartbeat.ts';
import { TicketQuotas } from './TicketQuotas.ts';
import { ownShare, schedulerShare } from './slotShares.ts';

/** Silence of the leader after which a gateway schedules its pending tickets itself. */
const LEADER_SILENCE_MS = 350;
/** Interval at which a gateway reports all its tickets, which repairs the effects of lost messages. */
const STATE_REPORT_INTERVAL_MS = 2_000;
/** Late grants of a ticket after which its gateway decides alone, because the way to the scheduler is slow. */
const MAXIMUM_LATE_GRANTS = 2;

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

  readonly #quarantine: QuarantineGate;

  readonly #charges = new ChargeConfirmations();

  readonly #caps: CapGuard;

  readonly #heartbeat = new SchedulerHeartbeat();

  /** Incarnation of the gateway that schedules for all. */
  #leader = '';

  /**
   * Whether this process charges quotas: as the leader, while the leader is unreachable, or if other
   * gateways already send it their tickets because they learned first that it is the leader.
   */
  #isChargingQuotas = false;

  /** Time of the last message of the leader, or of the change of leader if that is later. */
  #leaderHeardAt = Number.NEGATIVE_INFINITY;

  #stateReportedAt = 0;

  /** Whether tickets of this process may wait for the first contact with a peer. */
  #isHolding = false;

  readonly #decisions: DecisionTimer;

  readonly #quotas: TicketQuotas;

  constructor(options: PlacementCoordinatorOptions) {
    this.#options = options;
    this.scheduler = new PlacementScheduler(options.limits, options.candidates);
    this.#quarantine = new QuarantineGate(options.crashes);
    this.#caps = new CapGuard(options.limits, this.scheduler);
    this.#decisions = new DecisionTimer((now) => this.#decide(now), options.now);
    this.#quotas = new TicketQuotas(options.quotas, options.findAccount);
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
    const retryAfterMs = this.#quarantine.findQuarantine(ticket);
    if (retryAfterMs !== undefined) {
      onAnswer(quarantineAnswer(retryAfterMs, group.incarnation));
      return;
    }
    this.#tickets.addPending({ ticket, requestedAt: now, onAnswer, scheduler: leader });
    if (leader === group.incarnation) {
      if (this.#holdsTickets(now)) return;
      this.#enqueue(leader, ticket, schedulerShare(group, now), now);
      this.#decisions.runWhenDue(now);
      return;
    }
    // The leader sends heartbeats only to gateways whose tickets wait at it, so that its silence
    // counts only while a ticket is unanswered.
    if (this.#isLeaderSilent(now) && this.#tickets.hasPendingFor(LEADER_SILENCE_MS, now)) {
      this.#decideLocally(ticket.id, now);
      return;
    }
    const sent = group.send(leader, { _tag: 'placementRequest', tickets: [ticket] });
    if (!sent) this.#decideLocally(ticket.id, now);
  }

  /**
   * Withdraws a pending ticket; no effect if it was already answered.
   *
   * @returns whether a scheduler has confirmed that the ticket is charged to its quota, or that there is nothing to charge
   */
  withdraw(id: string): boolean {
    const isCharged = this.#tickets.findPending(id)?.ticket.quotaUnits === 0;
    if (!this.#tickets.withdraw(id)) return false;
    this.#withdraw(id);
    this.#sendToLeader({ _tag: 'placementWithdraw', ids: [id] });
    return isCharged;
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
    this.#decisions.runWhenDue(now);
  }

  /** Whether tickets wait here, those of other gateways included. */
  get hasWaitingTickets(): boolean {
    return this.#tickets.waitingCount + this.scheduler.waitingCount > 0;
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
    this.#caps.tick(now);
    this.#updateLeader(now);
    if (this.#isLeader()) this.#tickLeader(now);
    else this.#tickFollower(now);
    this.#decisions.runWhenDue(now);
    const group = this.#options.group();
    this.#charges
      .take((id) => this.scheduler.isWaiting(id))
      .forEach(({ owner, ids }) => group.send(owner, { _tag: 'placementQueued', ids }));
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
        this.#enqueueAll(from, message.tickets, now);
        return;
      case 'placementGrant':
        this.#onGrant(message.id, { ...message, from }, now);
        return;
      case 'placementRefusal':
        this.#tickets.answer(message.id, { ...message, _tag: 'refused', decidedBy: from });
        return;
      case 'placementQueued':
        this.#tickets.markQuotaCharged(message.ids);
        return;
      case 'placementWithdraw':
        message.ids.forEach((id) => this.#withdraw(id));
        return;
      case 'placementStarted':
        this.scheduler.recordFirstToken(message.id, message.firstTokenMs, now);
        return;
      case 'placementEnd':
        this.#recordEnd(message.id, message.result, now);
        this.#decisions.runWhenDue(now);
        return;
      case 'placementState':
        this.#noteRequester(from, now);
        this.scheduler.reconcile(from, message.running, now);
        this.#enqueueAll(from, message.waiting, now);
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
    this.#quotas.retainOwners((owner) => owner !== incarnation);
    this.#heartbeat.removeRequester(incarnation);
    this.#decisions.runWhenDue(this.#options.now());
  }

  #withdraw(id: string): void {
    this.#quotas.withdraw(id);
    this.scheduler.withdraw(id);
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
    this.#caps.allocate(group, this.#isLeader(), now);
    if (leader === group.incarnation) {
      this.#startChargingQuotas(now);
      if (!this.#holdsTickets(now)) this.#enqueuePending(now);
      return;
    }
    this.scheduler.removeOtherOwners(group.incarnation);
    this.#quotas.retainOwners(() => false);
    this.#tickets.listPending().forEach((entry) => {
      entry.scheduler = leader;
      entry.sentAt = now;
      this.scheduler.withdraw(entry.ticket.id);
    });
    this.#reportState(now);
  }

  /** Takes up the tickets of this process, which is the leader. */
  #enqueuePending(now: number): void {
    const own = this.#options.group().incarnation;
    const share = schedulerShare(this.#options.group(), now);
    this.#tickets.listPending().forEach((entry) => {
      entry.scheduler = own;
      this.#enqueue(own, withRemainingTimes(entry, now), share, now);
    });
  }

  /** Whether the tickets of this process wait, because another one may turn out to be the leader in moments. */
  #holdsTickets(now: number): boolean {
    this.#isHolding = this.#options.group().awaitsContact(now);
    return this.#isHolding;
  }

  #tickLeader(now: number): void {
    this.#allocate(now);
    if (this.#isHolding && !this.#holdsTickets(now)) this.#enqueuePending(now);
    const { group, configurationVersion, hedging } = this.#options;
    const waiting = new Set([...this.scheduler.ownersWaiting(), ...this.#quotas.ownersWaiting()]);
    this.#heartbeat.send(group(), this.scheduler, waiting, configurationVersion(), now, hedging);
  }

  #tickFollower(now: number): void {
    this.#allocate(now);
    const { heldCount, waitingCount } = this.#tickets;
    const hasReport = heldCount + waitingCount > 0 || this.#options.hedging?.hasReport === true;
    if (hasReport && now - this.#stateReportedAt >= STATE_REPORT_INTERVAL_MS)
      this.#reportState(now);
    if (!this.#isLeaderSilent(now)) return;
    this.#tickets
      .listPending()
      .filter(
        ({ requestedAt, scheduler }) =>
          scheduler === this.#leader && now - requestedAt >= LEADER_SILENCE_MS,
      )
      .forEach(({ ticket }) => this.#decideLocally(ticket.id, now));
  }

  /** Sets the shares of slots, limits and caps that the scheduler of this process may use. */
  #allocate(now: number): void {
    const group = this.#options.group();
    const isLeader = this.#isLeader();
    const share = isLeader ? schedulerShare(group, now) : ownShare(group, now);
    this.scheduler.setSlotAllocation({ share });
    this.#caps.allocate(group, isLeader, now);
  }

  #isLeaderSilent(now: number): boolean {
    return now - this.#leaderHeardAt > LEADER_SILENCE_MS;
  }

  #decideLocally(id: string, now: number): void {
    if (this.#tickets.findPending(id) === undefined) return;
    this.#options.logger.warn(
      { ticket: id, scheduler: this.#leader, silentMs: Math.round(now - this.#leaderHeardAt) },
      'scheduler is silent; deciding alone',
    );
    this.#decideAlone(id, now);
  }

  #decideAlone(id: string, now: number): void {
    const pending = this.#tickets.findPending(id);
    if (pending === undefined) return;
    const own = this.#options.group().incarnation;
    if (this.#tickets.refuseHedge(pending, own)) return;
    this.#startChargingQuotas(now);
    this.#options.crashes.decideQuarantine();
    pending.scheduler = own;
    this.#allocate(now);
    const share = ownShare(this.#options.group(), now);
    this.#enqueue(own, withRemainingTimes(pending, now), share, now);
    this.#decisions.runWhenDue(now);
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

  #enqueueAll(owner: string, tickets: readonly PlacementTicket[], now: number): void {
    const share = schedulerShare(this.#options.group(), now);
    tickets.forEach((ticket) => this.#enqueue(owner, ticket, share, now));
    this.#decisions.runWhenDue(now);
  }

  #enqueue(owner: string, ticket: PlacementTicket, share: number, now: number): void {
    if (this.scheduler.hasTicket(ticket.id) || this.#quotas.has(ticket.id)) return;
    const retryAfterMs = this.#quarantine.admit(ticket);
    if (retryAfterMs !== undefined) {
      this.#deliverDecision(refuseQuarantined({ owner, ticket }, retryAfterMs));
      return;
    }
    const charge = this.#quotas.offer(owner, ticket, share, now);
    if (charge._tag === 'refused')
      this.#deliverDecision(refuseOverQuota(owner, ticket, charge.waitMs));
    else if (charge._tag === 'charged') this.#queue(owner, ticket, now);
  }

  #queue(owner: string, ticket: PlacementTicket, now: number, arrivedAt = now): void {
    this.scheduler.enqueue(owner, ticket, now, arrivedAt);
    if (owner !== this.#options.group().incarnation && ticket.quotaUnits > 0)
      this.#charges.add(owner, ticket.id);
  }

  #decide(now: number): void {
    this.#caps.resetAfterPause(now);
    this.#quotas
      .release(now)
      .forEach(({ owner, ticket, arrivedAt }) => this.#queue(owner, ticket, now, arrivedAt));
    this.scheduler
      .schedule(now)
      .forEach((decision) => this.#deliverDecision(this.#withQuarantine(decision, now)));
  }

  /** Refuses a grant whose prompt has come under quarantine while it waited. */
  #withQuarantine(decision: PlacementDecision, now: number): PlacementDecision {
    const { ticket } = decision;
    if (decision._tag === 'refuse') return decision;
    const retryAfterMs = this.#quarantine.findQuarantine(ticket);
    if (retryAfterMs === undefined) return decision;
    this.scheduler.recordEnd(ticket.id, { outcome: 'unused' }, now);
    return refuseQuarantined(decision, retryAfterMs);
  }

  #recordEnd(id: string, result: PlacementResult, now: number): void {
    const { logger, crashes } = this.#options;
    const running = this.scheduler.findRunning(id);
    const backoff = this.scheduler.recordEnd(id, result, now);
    if (backoff) logger.info({ ...backoff, outcome: result.outcome }, 'engine backed off');
    this.#quarantine.end(id);
    if (running === undefined || result.outcome !== 'served') return;
    const { ticket, record } = running;
    crashes.recordServed(ticket.service, endpointStartOf(record), partsOf(ticket));
  }

  #noteRequester(incarnation: string, now: number): void {
    if (this.#heartbeat.recordRequester(incarnation, now))
      this.#options.crashes.welcome(incarnation);
  }

  #deliverDecision(decision: PlacementDecision): void {
    const { ticket, owner } = decision;
    const { metrics, logger } = this.#options;
    const group = this.#options.group();
    const isOwn = owner === group.incarnation;
    metrics.countPlacement(ticket.route, decision._tag === 'grant' ? 'grant' : decision.reason);
    metrics.placements.countDecision(decision);
    if (decision.isDelayedByCap) metrics.countCapDelay(ticket.service);
    logPlacementDecision(logger, decision, this.scheduler.waitingCount);
    if (decision._tag === 'grant') {
      const { endpoint, waitedMs } = decision;
      if (isOwn) this.#occupySlot(ticket.id, endpoint, owner);
      else group.send(owner, { _tag: 'placementGrant', id: ticket.id, endpoint, waitedMs });
      return;
    }
    const { reason, retryAfterMs } = decision;
    this.#quarantine.end(ticket.id);
    this.#quotas.refund(ticket, reason, this.#options.now());
    if (isOwn)
      this.#tickets.answer(ticket.id, { _tag: 'refused', reason, retryAfterMs, decidedBy: owner });
    else group.send(owner, { _tag: 'placementRefusal', id: ticket.id, reason, retryAfterMs });
  }

  #onGrant(id: string, grant: ReceivedGrant, now: number): void {
    const { from, endpoint } = grant;
    const pending = this.#tickets.findPending(id);
    // The ticket was withdrawn or decided, or another process schedules it now, such as this one while the leader was
    // silent: the slot is unused.
    if (pending?.scheduler !== from) {
      this.#options.group().send(from, {
        _tag: 'placementEnd',
        id,
        result: { outcome: 'unused' },
      });
      return;
    }
    if (this.#caps.isUnusable(pending, grant, now)) {
      this.#replaceGrant(pending, grant, now);
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

  /** Gives the slot of an unusable grant back, and asks again or decides alone. */
  #replaceGrant(pending: PendingTicket, grant: ReceivedGrant, now: number): void {
    const group = this.#options.group();
    const { id } = pending.ticket;
    const transitMs = Math.round(grantTransitMs(pending, grant, now));
    this.#options.logger.warn({ ticket: id, ...grant, transitMs }, 'grant is not used');
    group.send(grant.from, { _tag: 'placementEnd', id, result: { outcome: 'unused' } });
    // The present scheduler has the ticket.
    if (grant.from !== pending.scheduler) return;
    // The scheduler that granted the slot has charged the ticket.
    this.#tickets.markQuotaCharged([id]);
    const lateGrants = this.#tickets.recordLateGrant(id, now);
    const asksAgain = grant.waitedMs !== undefined && lateGrants <= MAXIMUM_LATE_GRANTS;
    const tickets = [withRemainingTimes(pending, now)];
    if (!asksAgain || !group.send(this.#leader, { _tag: 'placementRequest', tickets }))
      this.#decideAlone(id, now);
  }

  #occupySlot(id: string, endpoint: string, grantedBy: string): void {
    const now = this.#options.now();
    if (this.#tickets.grant(id, endpoint, grantedBy, now)) return;
    this.scheduler.recordEnd(id, { outcome: 'unused' }, now);
  }

  #reportState(now: number): void {
    this.#stateReportedAt = now;
    const own = this.#options.group().incarnation;
    const tickets = this.#tickets.report(own, now);
    const times = this.#options.hedging?.takeReport();
    this.#sendToLeader({ _tag: 'placementState', ...tickets, ...times });
  }

  #sendToLeader(message: PeerMessage): void {
    if (!this.#isLeader()) this.#options.group().send(this.#leader, message);
  }
}
