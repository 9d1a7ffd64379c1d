import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { CrashMonitor } from './CrashMonitor.ts';
import type { RoutedRequest } from '../request/RoutedRequest.ts';

/** What the group believes of one request that may crash endpoints. */
export class RequestQuarantine {
  readonly #crashes: CrashMonitor;

  readonly #request: RoutedRequest;

  constructor(crashes: CrashMonitor, request: RoutedRequest) {
    this.#crashes = crashes;
    this.#request = request;
  }

  /** The request's fingerprint if it is in quarantine; otherwise empty. */
  get fingerprint(): readonly string[] {
    const { service, fingerprint } = this.#request;
    return this.#crashes.quarantinedFingerprint(service.name, fingerprint);
  }

  /** Whether another endpoint crashed under this request before, so that it isn't repeated. */
  get isSuspect(): boolean {
    const { service, fingerprint } = this.#request;
    return this.#crashes.isSuspect(service.name, fingerprint);
  }

  /** Returns the time in ms to the end of its period of quarantine; undefined if it may go on trial. */
  remainingMs(): number | undefined {
    const { service } = this.#request;
    return this.#crashes.findQuarantine(service.name, this.fingerprint)?.retryAfterMs;
  }

  /** Whether the request came under quarantine after a ticket for it was made. */
  isNewSince({ promptParts }: PlacementTicket): boolean {
    const [fingerprint] = this.fingerprint;
    return fingerprint !== undefined && promptParts?.includes(fingerprint) !== true;
  }
}
