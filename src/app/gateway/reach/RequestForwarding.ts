import type { ForwardEnvelope } from '../../../protocol/gateway/index.ts';
import type { Member } from '../../../state/Member.ts';
import type { GatewayContext } from '../GatewayContext.ts';
import { PeerAttempt } from './PeerAttempt.ts';
import type { AttemptEvent } from '../request/RequestAttempt.ts';
import type { RoutedRequest } from '../request/RoutedRequest.ts';

/** How far a request has progressed when it is forwarded. */
export type ForwardProgress = Omit<
  ForwardEnvelope,
  'from' | 'forwarding' | 'waitedBeforeMs' | 'configurationVersion' | 'lastEventId'
> & { readonly lastEventId: string | undefined };

/** Peers that may be asked to serve one request. */
const MAXIMUM_FORWARDINGS = 3;
/** Limit of the envelope for endpoints that a peer must avoid. */
const MAXIMUM_AVOIDED_ENDPOINTS = 16;

/** Forwards one request to peers, to each at most once, while this gateway reaches no endpoint. */
export class RequestForwarding {
  readonly #context: GatewayContext;

  readonly #request: RoutedRequest;

  /** Incarnations of the peers that the request was forwarded to. */
  readonly #triedPeers: string[] = [];

  constructor(context: GatewayContext, request: RoutedRequest) {
    this.#context = context;
    this.#request = request;
  }

  /**
   * Finds a peer that can have the request served.
   *
   * @returns the peer, or undefined if this gateway is to send the request itself
   */
  findPeer(): Member | undefined {
    const { reach, forwarder } = this.#context;
    // A request is forwarded once, so that it doesn't go round.
    if (!reach.isIsolated || this.#request.forwarded !== undefined) return undefined;
    if (this.#triedPeers.length >= MAXIMUM_FORWARDINGS) return undefined;
    return forwarder.choose(this.#triedPeers);
  }

  /**
   * Makes the attempt that forwards the request to a peer.
   *
   * @param peer - the peer, which must not have been tried
   * @param progress - what was done for the request so far
   * @param onEvent - told the progress of the attempt
   * @returns the attempt, which the caller starts
   */
  makeAttempt(
    peer: Member,
    { avoid, lastEventId, ...progress }: ForwardProgress,
    onEvent: (event: AttemptEvent) => void,
  ): PeerAttempt {
    this.#triedPeers.push(peer.incarnation);
    const { waitedBeforeMs, configurationVersion } = this.#request;
    return new PeerAttempt({
      context: this.#context,
      request: this.#request,
      peer,
      envelope: {
        ...progress,
        from: this.#context.forwarder.incarnation,
        forwarding: this.#triedPeers.length,
        avoid: avoid.slice(-MAXIMUM_AVOIDED_ENDPOINTS),
        waitedBeforeMs,
        configurationVersion,
        ...(lastEventId !== undefined && { lastEventId }),
      },
      onEvent,
    });
  }
}
