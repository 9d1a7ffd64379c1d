import type { PlainCandidates, PlainSelection } from '../../../coordination/gateway/index.ts';
import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import type { PlacementAnswer } from '../placement/LocalTickets.ts';
import { makePlacementTicket, type RequestProgress } from '../placement/makePlacementTicket.ts';
import { deadlineOf } from './deadlineOf.ts';
import type { RoutedRequest } from './RoutedRequest.ts';

/** The endpoints that one request may be sent to. */
export class RequestEndpoints {
  readonly #context: GatewayContext;

  readonly #request: RoutedRequest;

  /** Ids of endpoints that did not serve the request, the latest one last. */
  readonly avoided: string[];

  constructor(context: GatewayContext, request: RoutedRequest) {
    this.#context = context;
    this.#request = request;
    this.avoided = [...(request.forwarded?.avoid ?? [])];
  }

  /** Selects how a request of a plain service gets its endpoint. */
  selectPlain(): PlainSelection {
    const { plainSelector, now } = this.#context;
    return plainSelector.select(this.#listPlainCandidates(), now());
  }

  /**
   * Returns a granted endpoint that may still be used; undefined if it leaves, or if the permission to use its version
   * has expired since the grant.
   */
  findGranted(id: string): EndpointRecord | undefined {
    const { directory, rollouts } = this.#context;
    const ready = directory.findReady(id);
    return ready !== undefined && rollouts.maySend(ready) ? ready : undefined;
  }

  /**
   * Selects another endpoint of a plain service after the scheduler refused one that states a limit.
   *
   * @param ticket - the refused ticket
   * @param answer - the refusal
   * @returns the endpoint, or undefined if there is no other
   */
  selectUnlimited(
    { immediate }: PlacementTicket,
    { reason, retryAfterMs }: PlacementAnswer & { readonly _tag: 'refused' },
  ): EndpointRecord | undefined {
    if (this.#request.service.engine !== undefined || reason === 'quarantined') return undefined;
    const { plainSelector, now } = this.#context;
    const candidates = this.#listPlainCandidates();
    if (immediate && reason === 'overload')
      plainSelector.recordRefusal(candidates.service, retryAfterMs, now());
    return plainSelector.selectUnlimited(candidates, now());
  }

  /**
   * Selects how a second copy of the request gets its endpoint.
   *
   * @param first - the endpoint that has the first copy
   */
  selectHedge(first: EndpointRecord): PlainSelection {
    if (this.#request.service.engine !== undefined) return { _tag: 'scheduled', immediate: true };
    const { plainSelector, now } = this.#context;
    return plainSelector.selectHedge(this.#listPlainCandidates(), first, now());
  }

  /**
   * Makes the ticket with which the request, or a second copy of it, asks for a slot.
   *
   * @param progress - how far the request has progressed
   * @param alsoAvoided - endpoints to avoid besides those that did not serve it
   */
  makeTicket(
    progress: Omit<RequestProgress, 'waitedMs' | 'remainingMs' | 'avoid' | 'excluded'>,
    alsoAvoided: readonly EndpointRecord[] = [],
  ): PlacementTicket {
    const now = this.#context.now();
    return makePlacementTicket(this.#request, {
      ...progress,
      waitedMs: now - this.#request.inbound.arrivedAt,
      remainingMs: deadlineOf(this.#request) - now,
      avoid: [...this.avoided, ...alsoAvoided.map(({ id }) => id)],
      excluded: this.#listExcluded(),
    });
  }

  /**
   * Returns the time until the next endpoint has had the rest that it asked for.
   *
   * @returns the time in ms; undefined if none is at rest
   */
  msUntilRested(): number | undefined {
    const records = this.#listReady().filter(({ id }) => !this.avoided.includes(id));
    return this.#context.exclusions.msUntilRested(records);
  }

  /** Lists the endpoints that want no requests of this gateway, for a ticket. */
  #listExcluded(): NonNullable<PlacementTicket['excluded']> {
    return this.#context.exclusions.listExcluded(this.#listReady());
  }

  #listPlainCandidates(): PlainCandidates {
    const { exclusions, rollouts, random, now } = this.#context;
    const included = exclusions.selectIncluded(this.#listReady());
    const untried = included.filter(({ id }) => !this.avoided.includes(id));
    const { service, route } = this.#request;
    return {
      service: service.name,
      records: rollouts.gate.select(
        { service: service.name, route: route.name, draw: random() },
        untried,
        (record) => record,
        now(),
      ),
      avoid: this.avoided,
      fraction: this.#context.random(),
    };
  }

  #listReady(): readonly EndpointRecord[] {
    return this.#context.directory.listReady(this.#request.service.name);
  }
}
