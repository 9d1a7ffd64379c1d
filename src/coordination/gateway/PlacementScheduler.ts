import type {
  HeldPlacement,
  PlacementRefusal,
  PlacementResult,
  PlacementTicket,
} from '../../protocol/peer/Placement.ts';
import type { EndpointRecord } from '../../state/gateway/index.ts';
import { adviseReturn } from './adviseReturn.ts';
import { EngineGroup } from './EngineGroup.ts';
import { EngineLoad, type RunningPlacement } from './EngineLoad.ts';
import { orderWaiting, shareGroup, type WaitingPlacement } from './orderWaiting.ts';
import { chooseEngine, type EngineChoice } from './chooseEngine.ts';
import { preferTrusted } from './preferTrusted.ts';
import { RouteSizes } from './RouteSizes.ts';
import { ServedShares } from './ServedShares.ts';

/** What a scheduler decided for one ticket. */
export type PlacementDecision =
  | {
      readonly _tag: 'grant';
      readonly owner: string;
      readonly ticket: PlacementTicket;
      readonly endpoint: string;
      readonly waitedMs: number;
      /** Expected time to the first token. */
      readonly firstTokenMs: number;
      readonly free: number;
    }
  | {
      readonly _tag: 'refuse';
      readonly owner: string;
      readonly ticket: PlacementTicket;
      readonly reason: PlacementRefusal;
      readonly waitedMs: number;
      /** Expected time until a slot would have been free. */
      readonly expectedWaitMs: number;
      /** When its caller is best back. */
      readonly retryAfterMs: number;
    };

/** Time for a grant to reach its gateway and show up in what that gateway states of itself. */
const GRANT_TRAVEL_MS = 1_000;
/** An answer that has this little time left isn't begun. */
const LEAST_REMAINING_MS = 50;

/** What a scheduler may use of the engines. */
export interface SchedulerScope {
  /** Part of each engine's slots, from 0 to 1. */
  readonly share: number;
}

/**
 * Orders requests for model engines and places them: an engine admits in order of arrival, so waiting
 * takes place here, and a request is sent when a slot is free.
 */
export class PlacementScheduler {
  readonly #engines = new Map<string, EngineLoad>();

  readonly #waiting = new Map<string, WaitingPlacement>();

  readonly #shares = new ServedShares();

  readonly #sizes = new RouteSizes();

  #scope: SchedulerScope = { share: 1 };

  /** Sets what this scheduler may use. */
  setScope(scope: SchedulerScope): void {
    this.#scope = scope;
  }

  /**
   * Takes over the engines that may get requests. What runs at others is kept until it ends.
   *
   * @param records - every engine that is ready
   */
  setEngines(records: readonly EndpointRecord[]): void {
    const ready = new Set(records.map(({ id }) => id));
    [...this.#engines.keys()]
      .filter((id) => !ready.has(id))
      .forEach((id) => this.#engines.delete(id));
    records.forEach((record) => {
      const held = this.#engines.get(record.id);
      if (held === undefined) this.#engines.set(record.id, new EngineLoad(record));
      else held.updateRecord(record);
    });
  }

  /** Adds a ticket to the queue; one that already waits or runs is left as it is. */
  enqueue(owner: string, ticket: PlacementTicket, now: number): void {
    if (this.has(ticket.id)) return;
    if (ticket.avoid.length === 0) {
      this.#sizes.learn(ticket);
      this.#shares.countAsked(shareGroup(ticket, this.#sizes), now);
    }
    this.#waiting.set(ticket.id, { owner, ticket, arrivedAt: now });
  }

  /** Tells whether a ticket waits or runs. */
  has(id: string): boolean {
    return this.#waiting.has(id) || this.#findRunning(id) !== undefined;
  }

  /** Takes a ticket out of the queue. */
  withdraw(id: string): void {
    this.#waiting.delete(id);
  }

  /** Notes the first token of a running request, and learns from the time that it took. */
  recordFirstToken(id: string, firstTokenMs: number, now: number): void {
    const running = this.#findRunning(id);
    if (running === undefined) return;
    const { engine, placement } = running;
    if (!placement.started) engine.estimate.learnRead(placement.tokensToRead, firstTokenMs);
    engine.recordFirstToken(id, now);
  }

  /** Frees a slot and learns from how its request ended. */
  recordEnd(id: string, result: PlacementResult, now: number): void {
    const running = this.#findRunning(id);
    if (running === undefined) return;
    const { engine } = running;
    engine.release(id, now);
    engine.condition.learn(result.outcome, now);
    const { decodeMs, outputTokens } = result;
    if (decodeMs === undefined || outputTokens === undefined) return;
    engine.estimate.learnDecode(outputTokens, decodeMs);
  }

  /** Replaces all that runs for one gateway by what it says of itself. */
  reconcile(owner: string, running: readonly HeldPlacement[], now: number): void {
    const stated = new Set(running.map(({ ticket }) => ticket.id));
    // A grant on its way isn't known to its owner yet.
    const isStale = (placement: RunningPlacement): boolean =>
      placement.owner === owner && now - placement.grantedAt > GRANT_TRAVEL_MS;
    this.#engines.forEach((engine) =>
      engine.running.forEach((placement, id) => {
        if (isStale(placement) && !stated.has(id)) engine.running.delete(id);
      }),
    );
    running.forEach((held) => this.#adoptRunning(owner, held, now));
  }

  /** Forgets all that a gateway holds, once it is gone. */
  drop(owner: string): void {
    this.#waiting.forEach((waiting, id) => {
      if (waiting.owner === owner) this.#waiting.delete(id);
    });
    this.#engines.forEach(({ running }) =>
      running.forEach((placement, id) => {
        if (placement.owner === owner) running.delete(id);
      }),
    );
  }

  /** Forgets all but what one gateway holds. */
  keepOnly(owner: string): void {
    const owners = new Set<string>();
    this.#waiting.forEach((waiting) => owners.add(waiting.owner));
    this.#engines.forEach(({ running }) => running.forEach((held) => owners.add(held.owner)));
    owners.delete(owner);
    owners.forEach((other) => this.drop(other));
  }

  /** Takes over speeds that the scheduler before has learned, where nothing was learned here. */
  adoptSpeeds(
    speeds: readonly {
      readonly endpoint: string;
      readonly readMsPerToken: number;
      readonly decodeMsPerToken: number;
    }[],
  ): void {
    speeds.forEach(({ endpoint, readMsPerToken, decodeMsPerToken }) => {
      this.#engines.get(endpoint)?.estimate.seed(readMsPerToken, decodeMsPerToken);
    });
  }

  /** Counts what waits. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Gives the engines as they are seen now. */
  engines(): readonly EngineLoad[] {
    return [...this.#engines.values()];
  }

  /**
   * Places and refuses what waits.
   *
   * @param now - present time in ms
   * @returns what was decided, in order
   */
  schedule(now: number): PlacementDecision[] {
    if (this.#waiting.size === 0) return [];
    const decisions: PlacementDecision[] = [];
    const services = new Set([...this.#waiting.values()].map(({ ticket }) => ticket.service));
    services.forEach((service) => decisions.push(...this.#runService(service, now)));
    return decisions;
  }

  #runService(service: string, now: number): PlacementDecision[] {
    const engines = [...this.#engines.values()].filter(({ record }) => record.service === service);
    const group = new EngineGroup(preferTrusted(engines, ({ condition }) => condition, now));
    const waiting = [...this.#waiting.values()].filter(({ ticket }) => ticket.service === service);
    const ordered = orderWaiting(waiting, {
      group,
      shares: this.#shares,
      sizes: this.#sizes,
      now,
    });
    const decisions: PlacementDecision[] = [];
    let workAheadMs = 0;
    const slots = group.engines.reduce((sum, engine) => sum + this.#slots(engine), 0);
    ordered.forEach((entry) => {
      const decision = this.#decide(entry, group, workAheadMs / Math.max(1, slots), now);
      if (decision === undefined) {
        workAheadMs += group.forecast(entry.ticket).slotMs;
        return;
      }
      this.#waiting.delete(entry.ticket.id);
      decisions.push(decision);
    });
    return decisions;
  }

  /** Decides for one ticket, or leaves it waiting. */
  #decide(
    entry: WaitingPlacement,
    group: EngineGroup,
    expectedWaitMs: number,
    now: number,
  ): PlacementDecision | undefined {
    const { ticket, owner, arrivedAt } = entry;
    const waitedMs = now - arrivedAt;
    const refuse = (reason: PlacementRefusal): PlacementDecision => ({
      _tag: 'refuse',
      owner,
      ticket,
      reason,
      waitedMs,
      expectedWaitMs,
      retryAfterMs: adviseReturn(
        ticket.id,
        expectedWaitMs,
        this.#shares.grantRatio(shareGroup(ticket, this.#sizes), now),
      ),
    });
    const remainingMs = ticket.remainingMs - waitedMs;
    if (remainingMs < LEAST_REMAINING_MS) return refuse('deadline');
    const usable =
      ticket.avoid.length === 0
        ? group.engines
        : group.engines.filter(({ record }) => !ticket.avoid.includes(record.id));
    if (usable.length === 0) return refuse('noEndpoint');
    const targetMs = ticket.targetMs - waitedMs;
    const choice = chooseEngine(ticket, usable, {
      targetMs,
      remainingMs,
      now,
      slotsOf: (engine) => group.slots(engine, this.#slots(engine)),
    });
    if (choice !== undefined) return this.#grant(entry, choice, now);
    const isLate = expectedWaitMs + group.forecast(ticket).firstTokenMs > targetMs;
    if (!isLate) return undefined;
    const late = chooseEngine(ticket, usable, {
      targetMs: Number.POSITIVE_INFINITY,
      remainingMs,
      now,
      slotsOf: (engine) => group.slots(engine, this.#slots(engine)),
    });
    return late === undefined ? refuse('overload') : this.#grant(entry, late, now);
  }

  #grant(
    { ticket, owner, arrivedAt }: WaitingPlacement,
    { engine, firstTokenMs, tokensToRead }: EngineChoice,
    now: number,
  ): PlacementDecision {
    engine.grant({
      ticket,
      owner,
      grantedAt: now,
      tokensToRead,
      started: false,
    });
    if (ticket.avoid.length === 0) {
      this.#shares.countGranted(shareGroup(ticket, this.#sizes), now);
    }
    return {
      _tag: 'grant',
      owner,
      ticket,
      endpoint: engine.record.id,
      waitedMs: now - arrivedAt,
      firstTokenMs,
      free: this.#slots(engine) - engine.running.size,
    };
  }

  #slots({ record }: EngineLoad): number {
    return Math.max(1, Math.floor(record.slots * this.#scope.share));
  }

  #adoptRunning(
    owner: string,
    { ticket, endpoint, ageMs, started }: HeldPlacement,
    now: number,
  ): void {
    const engine = this.#engines.get(endpoint);
    if (engine === undefined || engine.running.has(ticket.id)) return;
    engine.running.set(ticket.id, {
      ticket,
      owner,
      grantedAt: now - ageMs,
      tokensToRead: ticket.promptTokens,
      started,
    });
  }

  #findRunning(
    id: string,
  ): { readonly engine: EngineLoad; readonly placement: RunningPlacement } | undefined {
    const found = [...this.#engines.values()].find(({ running }) => running.has(id));
    const placement = found?.running.get(id);
    return found && placement ? { engine: found, placement } : undefined;
  }
}
