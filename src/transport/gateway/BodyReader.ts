import type * as http from 'node:http';
import type { CallerHolding } from '../../protocol/gateway/index.ts';
import { ByteCollector } from '../http/index.ts';

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
  /** Longest time without a byte, in ms. */
  readonly idleTimeoutMs: number;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
  /** Begins to hold the body in memory. */
  readonly open: (onYield: () => void) => CallerHolding;
  /** Called with the whole body, which is to be held until the request has been answered. */
  readonly onWhole: (body: Buffer, held: CallerHolding) => void;
  /** Called once instead; nothing more is read. */
  readonly onUnreadable: (reason: UnreadableBody) => void;
}

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

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    this.#heardAt = options.now();
    this.#collected = new ByteCollector(announcedSize(options.incoming));
    this.#held = options.open(() => this.#giveUp({ _tag: 'outOfMemory' }));
  }

  /** Begins to read. Call it once. */
  start(): void {
    const { incoming, maximumBytes, idleTimeoutMs } = this.#options;
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
    this.#held.resize(this.#collected.capacity, this.#heardAt);
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
  }

  #startPauseTimer(delayMs: number): void {
    this.#pauseTimer = setTimeout(() => this.#checkPause(), delayMs);
  }

  #checkPause(): void {
    const { idleTimeoutMs, now } = this.#options;
    const idleMs = now() - this.#heardAt;
    if (idleMs >= idleTimeoutMs) this.#giveUp({ _tag: 'stalled' });
    else this.#startPauseTimer(idleTimeoutMs - idleMs);
  }
}
