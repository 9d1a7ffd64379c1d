import type * as net from 'node:net';

/** What a link does to the bytes on it. */
export type LinkCondition =
  | { readonly _tag: 'clear' }
  | { readonly _tag: 'delayed'; readonly ms: number }
  /** Bytes are held back until the link is clear again, as on a cut network. */
  | { readonly _tag: 'silent'; readonly direction: LinkDirection | 'both' }
  /** Every connection is reset, also new ones. */
  | { readonly _tag: 'reset' };

export type LinkDirection = 'toServer' | 'toCaller';

/** What is passed on in one direction: bytes, or the end of the connection. */
type Passing =
  | { readonly _tag: 'bytes'; readonly bytes: Buffer; readonly arrivedAt: number }
  | { readonly _tag: 'closed'; readonly arrivedAt: number };

/** The ends of a lane, and what the link does now. */
export interface LaneOptions {
  readonly from: net.Socket;
  readonly to: net.Socket;
  readonly condition: () => LinkCondition;
}

/** One direction of one connection. */
export class Lane {
  readonly #direction: LinkDirection;

  readonly #condition: () => LinkCondition;

  readonly #to: net.Socket;

  readonly #queue: Passing[] = [];

  #timer: NodeJS.Timeout | undefined;

  constructor(direction: LinkDirection, { from, to, condition }: LaneOptions) {
    this.#direction = direction;
    this.#condition = condition;
    this.#to = to;
    from.on('data', (bytes: Buffer) =>
      this.#add({ _tag: 'bytes', bytes, arrivedAt: performance.now() }),
    );
    from.on('close', () => this.#add({ _tag: 'closed', arrivedAt: performance.now() }));
  }

  /** Passes on what the condition of the link allows now. */
  flush(): void {
    clearTimeout(this.#timer);
    const condition = this.#condition();
    if (this.#isHeld(condition)) return;
    const delayMs = condition._tag === 'delayed' ? condition.ms : 0;
    for (let next = this.#queue[0]; next !== undefined; [next] = this.#queue) {
      const dueInMs = next.arrivedAt + delayMs - performance.now();
      if (dueInMs > 0) {
        this.#timer = setTimeout(() => this.flush(), dueInMs);
        return;
      }
      this.#queue.shift();
      if (next._tag === 'closed') this.#to.destroy();
      else this.#to.write(next.bytes);
    }
  }

  #isHeld(condition: LinkCondition): boolean {
    return (
      condition._tag === 'silent' &&
      (condition.direction === 'both' || condition.direction === this.#direction)
    );
  }

  #add(passing: Passing): void {
    this.#queue.push(passing);
    this.flush();
  }
}
