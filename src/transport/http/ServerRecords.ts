import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFraming } from './framingOf.ts';

/** Whether an answer that hasn't begun will have a mark at its end. */
export type ExpectedEnd = 'marked' | 'unmarked' | 'unknown';

/** What is known of one server from its answers. */
interface ServerRecord {
  /** Whether it has answered a request, rather than only checks. */
  hasAnswered: boolean;
  /** When its last answer without an end mark began, in ms. */
  unmarkedAt: number | undefined;
  /** Idle timeout that it stated, in ms. */
  statedIdleMs: number | undefined;
  /** Shortest time after which it closed an idle connection, in ms. */
  seenIdleMs: number | undefined;
}

/** A server is expected to leave end marks out for this long after it last did. */
const UNMARKED_MEMORY_MS = 60_000;
/** A server states its idle timeout in whole seconds, so that one which states none may close connections sooner. */
const UNSTATED_IDLE_MS = 500;
/** No shorter idle timeout is believed, so that checks stay rare. */
const MINIMUM_IDLE_MS = 200;
const MS_PER_SECOND = 1_000;
/** Servers that are remembered. */
const MAXIMUM_SERVERS = 4_096;

/** Returns the idle timeout that header lines state, in ms; undefined if they state none. */
const readIdleTimeout = ({ 'keep-alive': line }: IncomingHttpHeaders): number | undefined => {
  const seconds = /(?:^|[,;\s])timeout=(\d+)/i.exec(String(line ?? ''))?.[1];
  return seconds === undefined || Number(seconds) === 0
    ? undefined
    : Number(seconds) * MS_PER_SECOND;
};

/** What the servers of a connection pool have shown of themselves in their answers. Times are in ms, monotonic. */
export class ServerRecords {
  readonly #records = new Map<string, ServerRecord>();

  /**
   * Records the head of an answer.
   *
   * @param address - of the server
   * @param head - how the end of the answer is marked, and its header lines
   * @param now - present time
   */
  recordHead(
    address: string,
    {
      framing,
      headers,
    }: { readonly framing: AnswerFraming; readonly headers: IncomingHttpHeaders },
    now: number,
  ): void {
    const record = this.#renew(address);
    record.hasAnswered = true;
    if (framing === 'close') record.unmarkedAt = now;
    this.recordIdleTimeout(address, headers);
  }

  /**
   * Records the idle timeout that an answer states, if it states one.
   *
   * @param address - of the server
   * @param headers - header lines of the answer
   */
  recordIdleTimeout(address: string, headers: IncomingHttpHeaders): void {
    const record = this.#renew(address);
    record.statedIdleMs = readIdleTimeout(headers) ?? record.statedIdleMs;
  }

  /**
   * Records that a server closed an idle connection.
   *
   * @param address - of the server
   * @param idleMs - for how long the connection was idle
   */
  recordIdleClose(address: string, idleMs: number): void {
    const record = this.#renew(address);
    record.seenIdleMs = Math.min(idleMs, record.seenIdleMs ?? Infinity);
  }

  /**
   * Returns after how long a server has to be expected to close an idle connection, in ms.
   *
   * @param address - of the server
   */
  idleTimeoutMs(address: string): number {
    const { statedIdleMs, seenIdleMs = UNSTATED_IDLE_MS } = this.#records.get(address) ?? {};
    return statedIdleMs ?? Math.max(MINIMUM_IDLE_MS, Math.min(seenIdleMs, UNSTATED_IDLE_MS));
  }

  /**
   * Returns whether the end of the next answer of a server will be marked.
   *
   * @param address - of the server
   * @param now - present time
   * @returns `unknown` of a server that has not answered yet, `unmarked` of one that left a mark out of late
   */
  expectEnd(address: string, now: number): ExpectedEnd {
    const record = this.#records.get(address);
    if (record?.hasAnswered !== true) return 'unknown';
    const { unmarkedAt } = record;
    const isUnmarked = unmarkedAt !== undefined && now - unmarkedAt <= UNMARKED_MEMORY_MS;
    return isUnmarked ? 'unmarked' : 'marked';
  }

  /** Returns the record of a server, which is then the last to be forgotten. */
  #renew(address: string): ServerRecord {
    const record = this.#records.get(address) ?? {
      hasAnswered: false,
      unmarkedAt: undefined,
      statedIdleMs: undefined,
      seenIdleMs: undefined,
    };
    this.#records.delete(address);
    this.#records.set(address, record);
    const [oldest] = this.#records.keys();
    if (this.#records.size > MAXIMUM_SERVERS && oldest !== undefined) this.#records.delete(oldest);
    return record;
  }
}
