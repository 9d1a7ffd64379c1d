import { WebSocket } from 'ws';
import type { IncomingMessage } from 'node:http';
import { isProof, makeNonce, makeProof } from './peerProof.ts';
import type { PeerTraffic } from './PeerTraffic.ts';

/** Header of the opening end's nonce. */
export const CALLER_NONCE_HEADER = 'x-peer-nonce';
/** Header of the listening end's nonce. */
export const LISTENER_NONCE_HEADER = 'x-peer-challenge';
/** Header of the listening end's proof. */
export const LISTENER_PROOF_HEADER = 'x-peer-proof';

const CONNECT_TIMEOUT_MS = 1_000;
const MAXIMUM_QUEUED_MESSAGES = 1_024;
const MAXIMUM_QUEUED_BYTES = 4 * 1024 * 1024;
/** Time after a message at which a ping asks whether it arrived. */
const PING_AFTER_MS = 500;
/** Time without an answer to a ping after which a link counts as lost. */
const PONG_TIMEOUT_MS = 1_500;

/** What a link is made of. */
export interface OutgoingLinkOptions {
  /** Peer's `IP:PORT`. */
  readonly address: string;
  readonly secret: string;
  readonly traffic: PeerTraffic;
  /** Told once, when the link is gone; `established` tells whether it was ever up. */
  readonly onGone: (established: boolean) => void;
}

/** A link that this process opened, for what it sends to one peer. */
export class OutgoingLink {
  readonly #options: OutgoingLinkOptions;

  readonly #socket: WebSocket;

  readonly #nonce = makeNonce();

  #queue: Buffer[] = [];

  #queuedBytes = 0;

  #established = false;

  #gone = false;

  /** When the oldest message that no pong has covered was sent. */
  #unansweredSince: number | undefined;

  #pingedAt: number | undefined;

  /** When the link last carried a message. */
  usedAt: number;

  constructor(options: OutgoingLinkOptions, now: number) {
    this.#options = options;
    this.usedAt = now;
    this.#socket = new WebSocket(`ws://${options.address}/`, {
      headers: { [CALLER_NONCE_HEADER]: this.#nonce },
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      perMessageDeflate: false,
      maxPayload: 1,
    });
    this.#socket.on('upgrade', (response) => this.#onUpgrade(response));
    this.#socket.on('pong', () => this.#onPong());
    this.#socket.on('error', () => this.#socket.terminate());
    this.#socket.on('close', () => this.#onClose());
  }

  /**
   * Sends bytes, or keeps them until the link is up.
   *
   * @param bytes - one message
   * @param now - present time in ms
   * @param needsSign - whether a ping asks for a sign of their arrival, if there is none
   * @returns false where they were not taken
   */
  send(bytes: Buffer, now: number, needsSign = true): boolean {
    if (this.#gone) return false;
    if (!this.#established) return this.#enqueue(bytes, now);
    if (this.#socket.readyState !== WebSocket.OPEN) return false;
    if (this.#socket.bufferedAmount > MAXIMUM_QUEUED_BYTES) return false;
    this.#transmit(bytes, now, needsSign);
    return true;
  }

  /** Records that the peer has answered what was sent. */
  confirm(): void {
    if (this.#pingedAt === undefined) this.#unansweredSince = undefined;
  }

  /**
   * Pings where messages wait for a sign of arrival, and gives the link up where none comes.
   *
   * @param now - present time in ms
   */
  check(now: number): void {
    if (!this.#established || this.#gone) return;
    if (this.#pingedAt !== undefined) {
      if (now - this.#pingedAt > PONG_TIMEOUT_MS) this.close();
      return;
    }
    if (this.#unansweredSince === undefined || now - this.#unansweredSince < PING_AFTER_MS) return;
    this.#pingedAt = now;
    this.#unansweredSince = undefined;
    this.#socket.ping();
    this.#options.traffic.countSent(0);
  }

  /** Closes the link at once. */
  close(): void {
    this.#socket.terminate();
  }

  #enqueue(bytes: Buffer, now: number): boolean {
    if (
      this.#queue.length >= MAXIMUM_QUEUED_MESSAGES ||
      this.#queuedBytes + bytes.length > MAXIMUM_QUEUED_BYTES
    ) {
      return false;
    }
    this.usedAt = now;
    this.#queue.push(bytes);
    this.#queuedBytes += bytes.length;
    return true;
  }

  #transmit(bytes: Buffer, now: number, needsSign: boolean): void {
    this.usedAt = now;
    if (needsSign) this.#unansweredSince ??= now;
    this.#options.traffic.countSent(bytes.length);
    this.#socket.send(bytes);
  }

  #onUpgrade(response: IncomingMessage): void {
    const listenerNonce = String(response.headers[LISTENER_NONCE_HEADER] ?? '');
    const presented = String(response.headers[LISTENER_PROOF_HEADER] ?? '');
    const { secret } = this.#options;
    if (!isProof(makeProof(secret, 'listener', this.#nonce, listenerNonce), presented)) {
      this.#socket.terminate();
      return;
    }
    this.#socket.once('open', () => {
      this.#socket.send(makeProof(secret, 'caller', this.#nonce, listenerNonce));
      this.#established = true;
      this.#queue.forEach((bytes) => this.#transmit(bytes, this.usedAt, true));
      this.#queue = [];
    });
  }

  #onPong(): void {
    this.#pingedAt = undefined;
    this.#options.traffic.countReceived(0);
  }

  #onClose(): void {
    if (this.#gone) return;
    this.#gone = true;
    this.#queue = [];
    this.#options.onGone(this.#established);
  }
}
