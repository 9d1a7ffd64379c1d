import type { ServerCheck } from './askServer.ts';
import { CHECK_DELAY_MS, confirmServerRuns } from './confirmServerRuns.ts';
import type { ConnectionPool } from './ConnectionPool.ts';
import type { ExchangeEvent } from './exchange.ts';
import type { InquiryFinding } from './Inquiry.ts';
import { witnessOf } from './witnessOf.ts';

/** A crashed server needs longer than this until its crash was noticed, it was started again and accepts connections. */
const RESTART_MS = 100;
/** Most answers without an end mark are over within this time, and need no further connection. Well below `RESTART_MS`. */
const ATTENDANCE_DELAY_MS = 30;
/** Bytes that a cut link had held back arrive within this time of each other. */
const HELD_BACK_MS = 50;
/** Time for the server to answer the check, after which a request that may run again is rather sent to another one. */
const REPEATABLE_CHECK_TIMEOUT_MS = 1_000;

/** The server to check, and the pool of its connections. */
export interface EndConfirmationOptions extends ServerCheck {
  readonly pool: ConnectionPool;
  /**
   * Whether the request may run again. If not, the check may take as long as the caller waits, since a full server may let it
   * wait for a slot.
   */
  readonly isRepeatable: boolean;
}

const describeFinding = (finding: InquiryFinding): string | undefined => {
  switch (finding) {
    case 'runs':
      return undefined;
    case 'unanswered':
      return 'the server answers no more on a connection from before';
    case 'noConnection':
      return 'the server may have started again, and no connection is left from before';
    default:
      return finding satisfies never;
  }
};

/**
 * Confirms the end of an answer that only the end of its connection marks. A crash of the server ends the connection
 * too, and if the link was cut meanwhile the server may have started again before its end arrives. This takes time, in
 * which no bytes arrive. So after a silence the answer is complete only if the server answers on a connection that was
 * opened before it could have started again, which its `ServerWitness` keeps; without one, the server only has to accept
 * connections.
 */
export class EndConfirmation {
  readonly #options: EndConfirmationOptions;

  #isUnmarked = false;

  #bytesAt = 0;

  /** When the last bytes before the latest silence arrived; undefined before the first silence. */
  #quietSince: number | undefined;

  /** When the first bytes after the latest silence arrived. */
  #flowingSince = 0;

  /** When bytes were first left unread, after which their times say nothing of when they arrived. */
  #unreadSince: number | undefined;

  /** Runs until the server's witness attends to this answer. */
  #timer: NodeJS.Timeout | undefined;

  #stopAttending: (() => void) | undefined;

  #isScheduled = false;

  /** Whether the witness may ask the server while the answer goes on. */
  #mayAsk = false;

  #stopCheck: (() => void) | undefined;

  #isClosed = false;

  constructor(options: EndConfirmationOptions) {
    this.#options = options;
  }

  /** Takes notice of an event of the exchange, before it is handled. */
  observe(event: ExchangeEvent): void {
    if (this.#isClosed) return;
    const { pool, address } = this.#options;
    const now = pool.now();
    if (event._tag === 'written') {
      this.#bytesAt = now;
      const expected = pool.servers.expectEnd(address, now);
      if (expected !== 'marked') this.#scheduleAttendance(expected === 'unmarked');
    } else if (event._tag === 'head') {
      this.#isUnmarked = event.framing === 'close';
      pool.servers.recordHead(address, event, now);
      this.#recordBytes(now);
      if (this.#isUnmarked) this.#scheduleAttendance(true);
      else this.#release();
    } else if (event._tag === 'data' && this.#isUnmarked) {
      this.#recordBytes(now);
    }
  }

  /** Takes notice of the head of an answer whose end needs no confirmation, since the answer itself marks it. */
  dismiss({ headers }: ExchangeEvent & { readonly _tag: 'head' }): void {
    const { pool, address } = this.#options;
    pool.servers.recordHead(address, { framing: 'length', headers }, pool.now());
    this.#release();
  }

  /** Records that bytes are left unread from now on. */
  pause(): void {
    this.#unreadSince ??= this.#options.pool.now();
  }

  /**
   * Checks whether an answer is complete that the exchange reported as ended.
   *
   * @param onChecked - called once, unless this is closed before, with why the answer can't be taken for complete;
   *   undefined if it is complete
   */
  confirm(onChecked: (reason: string | undefined) => void): void {
    if (this.#isClosed) return;
    if (!this.#isUnmarked) {
      onChecked(undefined);
      return;
    }
    const { pool, address } = this.#options;
    const restartSince = this.#findPossibleRestart(pool.now());
    const finish = (reason: string | undefined): void => {
      this.#stopCheck = undefined;
      try {
        onChecked(reason);
      } catch (error) {
        pool.reportFault(error);
      }
    };
    if (restartSince === undefined) {
      this.#stopCheck = confirmServerRuns(pool, address, (runs) => {
        if (runs) finish(undefined);
        else this.#inquireAfterRefusal(finish);
      });
      return;
    }
    const inquire = (): void =>
      this.#inquire(restartSince, restartSince + RESTART_MS, (finding) =>
        finish(describeFinding(finding)),
      );
    const timer = setTimeout(inquire, CHECK_DELAY_MS);
    this.#stopCheck = () => clearTimeout(timer);
  }

  /** Gives up what is under way. */
  close(): void {
    this.#isClosed = true;
    this.#stopCheck?.();
    this.#release();
  }

  #release(): void {
    clearTimeout(this.#timer);
    this.#stopAttending?.();
    this.#stopAttending = undefined;
  }

  #recordBytes(now: number): void {
    if (now - this.#bytesAt > RESTART_MS) {
      this.#quietSince = this.#bytesAt;
      this.#flowingSince = now;
    }
    this.#bytesAt = now;
  }

  /** Returns since when the server may have crashed and started again, or undefined if it can't have. */
  #findPossibleRestart(now: number): number | undefined {
    const flowedMs = this.#bytesAt - this.#flowingSince;
    const isQuietAtEnd = now - this.#bytesAt > RESTART_MS;
    this.#recordBytes(now);
    if (this.#unreadSince !== undefined)
      return Math.min(this.#unreadSince, this.#quietSince ?? this.#unreadSince);
    return isQuietAtEnd || flowedMs <= HELD_BACK_MS ? this.#quietSince : undefined;
  }

  /** A server may take no more connections, because it has enough of them or is about to leave, and still run. */
  #inquireAfterRefusal(onChecked: (reason: string | undefined) => void): void {
    const endedAt = this.#bytesAt;
    this.#inquire(endedAt, endedAt, (finding) =>
      onChecked(finding === 'runs' ? undefined : 'the server accepts no connections'),
    );
  }

  /**
   * Inquires whether the process still runs that ran before a silence.
   *
   * @param quietSince - start of the silence, in ms
   * @param acceptsFrom - when another process can have accepted its first connection, in ms
   * @param onFinding - called once, unless this is closed before
   */
  #inquire(
    quietSince: number,
    acceptsFrom: number,
    onFinding: (finding: InquiryFinding) => void,
  ): void {
    const { pool, isRepeatable } = this.#options;
    const at = pool.now();
    const inquiry = { at, quietSince, acceptsFrom };
    let timer: NodeJS.Timeout | undefined;
    let isFound = false;
    const stop = witnessOf(pool, this.#options).inquire(inquiry, (finding) => {
      isFound = true;
      clearTimeout(timer);
      onFinding(finding);
    });
    if (isFound) return;
    const giveUp = (): void => {
      stop();
      onFinding('unanswered');
    };
    if (isRepeatable) timer = setTimeout(giveUp, REPEATABLE_CHECK_TIMEOUT_MS);
    this.#stopCheck = () => {
      clearTimeout(timer);
      stop();
    };
  }

  #scheduleAttendance(mayAsk: boolean): void {
    if (this.#mayAsk || (this.#isScheduled && !mayAsk)) return;
    this.#isScheduled = true;
    this.#mayAsk = mayAsk;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => {
      const stopUnasked = this.#stopAttending;
      this.#stopAttending = witnessOf(this.#options.pool, this.#options).attend(mayAsk);
      stopUnasked?.();
    }, ATTENDANCE_DELAY_MS);
  }
}
