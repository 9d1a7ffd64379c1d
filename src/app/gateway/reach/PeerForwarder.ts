import { chooseForwardPeer } from '../../../coordination/gateway/index.ts';
import {
  FORWARD_HEADER,
  encodeForwardEnvelope,
  isForwardLine,
  type ForwardEnvelope,
  type WireAdapter,
} from '../../../protocol/gateway/index.ts';
import type { Member } from '../../../state/Member.ts';
import type { InboundRequest } from '../../../transport/gateway/index.ts';
import {
  exchange,
  type ConnectionPool,
  type Exchange,
  type ExchangeEvent,
} from '../../../transport/http/index.ts';
import { makeProof } from '../../../transport/peer/index.ts';
import type { PeerGroup } from '../PeerGroup.ts';

/** Collaborators of a peer forwarder. */
export interface PeerForwarderOptions {
  /** Returns the peer group, which is created later than the forwarder. */
  readonly group: () => PeerGroup;
  readonly pool: ConnectionPool;
  readonly wire: WireAdapter;
  /** Secret that all gateways share. */
  readonly secret: string;
  readonly failureDomain: string;
  /** A random number in [0, 1). */
  readonly random: () => number;
}

/** Time for a peer to ask for the body, so that one that stands still doesn't get the request. */
const CONTINUE_TIMEOUT_MS = 400;

/** Forwards requests to peers while this gateway reaches no endpoint itself. */
export class PeerForwarder {
  readonly #options: PeerForwarderOptions;

  /** Requests in progress by the incarnation of the peer. */
  readonly #inProgress = new Map<string, number>();

  constructor(options: PeerForwarderOptions) {
    this.#options = options;
  }

  /** Incarnation of this gateway. */
  get incarnation(): string {
    return this.#options.group().incarnation;
  }

  /** Number of forwarded requests that haven't ended. */
  get inProgress(): number {
    return [...this.#inProgress.values()].reduce((sum, count) => sum + count, 0);
  }

  /**
   * Chooses a peer that reaches endpoints.
   *
   * @param tried - incarnations of peers that must not be chosen
   * @returns the peer, or undefined if none is known to reach endpoints
   */
  choose(tried: readonly string[]): Member | undefined {
    const { group, failureDomain, random } = this.#options;
    return chooseForwardPeer({
      members: group().servingMembers(),
      failureDomain,
      exclude: new Set([this.incarnation, ...tried]),
      forwardedTo: (incarnation) => this.#inProgress.get(incarnation) ?? 0,
      fraction: random(),
    });
  }

  /** Whether a peer is believed alive. */
  isAlive(incarnation: string): boolean {
    return this.#options
      .group()
      .liveMembers()
      .some((member) => member.incarnation === incarnation && member.status === 'alive');
  }

  /**
   * Sends a request to a peer.
   *
   * @param peer - the peer
   * @param inbound - the request as its caller sent it
   * @param envelope - what the peer must know besides
   * @param onEvent - told everything in order
   * @returns a handle to break it off
   */
  send(
    peer: Member,
    inbound: InboundRequest,
    envelope: ForwardEnvelope,
    onEvent: (event: ExchangeEvent) => void,
  ): Exchange {
    const { pool, wire, secret } = this.#options;
    const { method, target, body, headerLines } = inbound;
    const { id } = wire.readRequestHeaders(headerLines);
    const lines = wire.filterRequestHeaders(headerLines);
    const callerLines = lines.filter((_, index) => !isForwardLine(lines, index));
    const text = encodeForwardEnvelope(envelope);
    const proof = makeProof(secret, 'forwarder', text, `${method} ${target}`);
    return exchange(
      pool,
      {
        address: `http://${peer.peerAddress}`,
        ...(id !== undefined && { id }),
        method,
        path: target,
        headers: {},
        headerLines: [...callerLines, FORWARD_HEADER, `${text}.${proof}`],
        body,
        fresh: false,
        silenceMs: undefined,
        ...(body !== undefined && { continueWithinMs: CONTINUE_TIMEOUT_MS }),
      },
      onEvent,
    );
  }

  /** Counts a request in progress at a peer; `change` is 1 at its start and -1 at its end. */
  count(incarnation: string, change: 1 | -1): void {
    const count = (this.#inProgress.get(incarnation) ?? 0) + change;
    if (count > 0) this.#inProgress.set(incarnation, count);
    else this.#inProgress.delete(incarnation);
  }
}
