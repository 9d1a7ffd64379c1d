import { Counter, type Registry } from 'prom-client';
import type { PlacementDecision } from '../../../coordination/gateway/index.ts';

/** Accounts that have labels of their own; decisions on others are counted together. */
const MAXIMUM_ACCOUNTS = 64;
const OTHER_ACCOUNTS = 'other';
const ANONYMOUS = 'none';
/** Priorities that have labels of their own; higher ones count as the last. */
const HIGHEST_PRIORITY = 9;

/** Counters of the scheduler's decisions by account, priority and engine group, with bounded numbers of labels. */
export class PlacementMetrics {
  readonly #accounts = new Set<string>();

  readonly #decisions: Counter<'account' | 'priority' | 'decision'>;

  readonly #waits: Counter<'account' | 'priority'>;

  readonly #grants: Counter<'priority' | 'engines'>;

  /** @param registry - where the counters are registered */
  constructor(registry: Registry) {
    this.#decisions = new Counter({
      name: 'corianderwick_gateway_account_placements_total',
      help: 'Decisions of this process as the scheduler, by account and route priority.',
      labelNames: ['account', 'priority', 'decision'],
      registers: [registry],
    });
    this.#waits = new Counter({
      name: 'corianderwick_gateway_placement_wait_ms_total',
      help: 'Time in ms for which tickets waited until this process decided on them.',
      labelNames: ['account', 'priority'],
      registers: [registry],
    });
    this.#grants = new Counter({
      name: 'corianderwick_gateway_engine_grants_total',
      help: 'Slots granted by this process, by route priority and speed of the engine.',
      labelNames: ['priority', 'engines'],
      registers: [registry],
    });
  }

  /** Counts a decision: `grant`, or the reason of the refusal with `AboveShare` if the account had yielded. */
  countDecision(decision: PlacementDecision): void {
    const { ticket, waitedMs } = decision;
    const account = this.#labelOf(ticket.account);
    const priority = String(Math.max(0, Math.min(HIGHEST_PRIORITY, Math.round(ticket.priority))));
    this.#waits.inc({ account, priority }, Math.max(0, waitedMs));
    switch (decision._tag) {
      case 'grant':
        this.#decisions.inc({ account, priority, decision: 'grant' });
        this.#grants.inc({ priority, engines: decision.engineGroup });
        return;
      case 'refuse':
        this.#decisions.inc({
          account,
          priority,
          decision: decision.aboveShare === true ? `${decision.reason}AboveShare` : decision.reason,
        });
        return;
      default:
        decision satisfies never;
    }
  }

  #labelOf(account: string | undefined): string {
    if (account === undefined) return ANONYMOUS;
    if (this.#accounts.has(account)) return account;
    if (this.#accounts.size >= MAXIMUM_ACCOUNTS) return OTHER_ACCOUNTS;
    this.#accounts.add(account);
    return account;
  }
}
