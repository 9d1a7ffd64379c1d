import type { IncomingHttpHeaders } from 'node:http';
import type { AnswerFraming } from './framingOf.ts';

/** What is known of one server from its answers. */
interface ServerRecord {
  /** When its last answer without an end mark began, in ms. */
  unmarkedAt: number | undefined;
}

/** A server is expected to leave end marks out for this long after it last did. */
const UNMARKED_MEMORY_MS = 60_000;
/** Servers that are remembered. */
const MAXIMUM_SERVERS = 4_096;

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
    { framing }: { readonly framing: AnswerFraming; readonly headers: IncomingHttpHeaders },
    now: number,
  ): void {
    const record = this.#renew(address);
    if (framing === 'close') record.unmarkedAt = now;
  }

  /**
   * Whether the next answer of a server may have no end mark: that of one which has not answered yet, or which left the mark
   * out of late.
   *
   * @param address - of the server
   * @param now - present time
   */
  mayLeaveEndUnmarked(address: string, now: number): boolean {
    const record = this.#records.get(address);
    if (record === undefined) return true;
    return record.unmarkedAt !== undefined && now - record.unmarkedAt <= UNMARKED_MEMORY_MS;
  }

  /** Returns the record of a server, which is then the last to be forgotten. */
  #renew(address: string): ServerRecord {
    const record = this.#records.get(address) ?? { unmarkedAt: undefined };
    this.#records.delete(address);
    this.#records.set(address, record);
    const [oldest] = this.#records.keys();
    if (this.#records.size > MAXIMUM_SERVERS && oldest !== undefined) this.#records.delete(oldest);
    return record;
  }
}
