import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { CrashMonitor } from './CrashMonitor.ts';
import { partsOf } from './refuseQuarantined.ts';

/** Keeps tickets from the scheduler whose requests crash endpoints, except for single trials. */
export class QuarantineGate {
  readonly #crashes: CrashMonitor;

  /** Ids of the tickets that were admitted as trials. */
  readonly #trials = new Set<string>();

  constructor(crashes: CrashMonitor) {
    this.#crashes = crashes;
  }

  /**
   * Admits a ticket, possibly as a trial.
   *
   * @param ticket - the ticket
   * @returns undefined if it is admitted; otherwise the time after which its caller should retry, in ms
   */
  admit(ticket: PlacementTicket): number | undefined {
    const isFirst = ticket.avoid.length === 0;
    const admission = this.#crashes.decideRequest(ticket.service, partsOf(ticket), isFirst);
    if (admission._tag === 'refused') return admission.retryAfterMs;
    if (admission._tag === 'trial') this.#trials.add(ticket.id);
    return undefined;
  }

  /**
   * Checks a ticket whose slot is about to be granted: its prompt may have come under quarantine while it waited.
   *
   * @param ticket - the ticket
   * @returns undefined if the slot may be granted; otherwise the time after which its caller should retry, in ms
   */
  findQuarantine(ticket: PlacementTicket): number | undefined {
    if (this.#trials.has(ticket.id)) return undefined;
    return this.#crashes.findQuarantine(ticket.service, partsOf(ticket))?.retryAfterMs;
  }

  /** Forgets that a ticket is a trial, because it was refused or its request has ended. */
  end(id: string): void {
    this.#trials.delete(id);
  }
}
