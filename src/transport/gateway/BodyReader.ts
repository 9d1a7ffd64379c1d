import type * as http from 'node:http';
import type { CallerHolding } from '../../protocol/gateway/index.ts';
import { ByteCollector } from '../http/index.ts';
import { pauseSocket } from './pauseSocket.ts';
import type { ReadPacer } from './ReadPacer.ts';

/** Why a body isn't read to its end. */
export type UnreadableBody =
  | { readonly _tag: 'tooLarge' }
  /** It has ceased to arrive. */
  | { readonly _tag: 'stalled' }
  /** The requests of all callers take too much memory. */
  | { readonly _tag: 'outOfMemory' };

/** A body, and the limits that it is read within. */
export interface BodyReaderOptions {
  readonly incoming: http.IncomingMessage;
  readonly maximumBytes: number;
  /** Memory that the head takes, which is held together with the body; in bytes. */
  readonly headMemory: number;
  /** Longest time without a byte, in ms. */
  readonly idleTimeoutMs: number;
  readonly pacer: ReadPacer;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Begins to hold the body in memory. */
  readonly open: (onYield: () => void) => CallerHolding;
  /** Called with the whole body, which is to be held until the request has been answered. */
  readonly onWhole: (body: Buffer, held: CallerHolding) => void;
  /** Called once instead; nothing more is read. */
  readonly onUnreadable: (reason: UnreadableBody) => void;
}

/** Pieces of a body that are read before the connection has to wait if they are small on average. */
const PIECES_PER_TURN = 1_024;
/** Bytes in a piece below which the time to read it is that of the piece, not that of its bytes. */
const SMALL_PIECE_BYTES = 64;

/** Size that the head announces, in bytes; undefined for a body in chunks. */
const announcedSize = ({ headers }: http.IncomingMessage): number | undefined => {
  const { 'content-length': length, 'transfer-encoding': coding } = headers;
  return coding === undefined && length !== undefined ? Number(length) : undefined;
};

/** Reads the body of one request within limits. One that arrives slowly may take as long as it needs. */
export class BodyReader {
  readonly #options: BodyReaderOptions;

  readonly #collected: ByteCollector;

  readonly #held: CallerHolding;

  #isOver = false;

  #heardAt: number;

  #pauseTimer: NodeJS.Timeout | undefined;

  /** Pieces since the connection last had to wait, or was found to bring large ones. */
  #pieces = 0;

  #bytesOfPieces = 0;

  /** Goes on reading before the connection's turn; undefined while it doesn't wait for that. */
  #stopWaiting: (() => void) | undefined;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    this.#heardAt = options.now();
    this.#collected = new ByteCollector(announcedSize(options.incoming));
    this.#held = options.open(() => this.#giveUp({ _tag: 'outOfMemory' }));
  }

  /** Begins to read. Call it once. */
  start(): void {
    const { incoming, maximumBytes, idleTimeoutMs } = this.#options;
    this.#hold();
    if (this.#isOver) return;
    if ((announcedSize(incoming) ?? 0) > maximumBytes) {
      this.#giveUp({ _tag: 'tooLarge' });
      return;
    }
    if (!incoming.complete) this.#startPauseTimer(idleTimeoutMs);
    incoming.on('data', (piece: Buffer) => this.#onData(piece));
    // A caller that leaves midway has no request to answer.
    incoming.on('error', () => {});
    incoming.once('close', () => {
      if (!this.#isOver) this.#drop();
    });
    incoming.once('end', () => this.#onEnd());
  }

  #onData(piece: Buffer): void {
    if (this.#isOver) return;
    const { maximumBytes, now } = this.#options;
    if (this.#collected.size + piece.length > maximumBytes) {
      this.#giveUp({ _tag: 'tooLarge' });
      return;
    }
    this.#collected.append(piece);
    this.#heardAt = now();
    this.#hold();
    this.#countPiece(piece.length);
  }

  /** Records the memory that head and body take, which may end this reader. */
  #hold(): void {
    this.#held.resize(this.#options.headMemory + this.#collected.capacity, this.#heardAt);
  }

  #onEnd(): void {
    const { incoming, onWhole } = this.#options;
    if (this.#isOver || !incoming.complete) return;
    this.#stop();
    onWhole(this.#collected.take(), this.#held);
  }

  #giveUp(reason: UnreadableBody): void {
    if (this.#isOver) return;
    this.#drop();
    this.#options.incoming.pause();
    this.#options.onUnreadable(reason);
  }

  #drop(): void {
    this.#stop();
    this.#collected.take();
    this.#held.release();
  }

  #stop(): void {
    this.#isOver = true;
    clearTimeout(this.#pauseTimer);
    this.#stopWaiting?.();
  }

  #startPauseTimer(delayMs: number): void {
    this.#pauseTimer = setTimeout(() => this.#checkPause(), delayMs);
  }

  /** The time in which the connection waits to be read isn't the caller's. */
  #checkPause(): void {
    const { idleTimeoutMs, now } = this.#options;
    const idleMs = this.#stopWaiting === undefined ? now() - this.#heardAt : 0;
    if (idleMs >= idleTimeoutMs) this.#giveUp({ _tag: 'stalled' });
    else this.#startPauseTimer(idleTimeoutMs - idleMs);
  }

  /** Has the connection wait for its turn if its pieces are small: what has been read already is still handled. */
  #countPiece(bytes: number): void {
    this.#pieces += 1;
    this.#bytesOfPieces += bytes;
    if (this.#pieces < PIECES_PER_TURN) return;
    const areSmall = this.#bytesOfPieces < this.#pieces * SMALL_PIECE_BYTES;
    this.#pieces = 0;
    this.#bytesOfPieces = 0;
    if (!areSmall || this.#stopWaiting !== undefined) return;
    const { incoming, pacer, now } = this.#options;
    const resume = pauseSocket(incoming.socket);
    const leave = pacer.wait(() => {
      this.#stopWaiting = undefined;
      this.#heardAt = now();
      resume();
    });
    this.#stopWaiting = () => {
      leave();
      resume();
    };
  }
}
