import { ByteCollector } from './ByteCollector.ts';

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const COLON = 58;
const ID_FIELD = 'id:';

/** Complete events of a stream. */
export interface CompleteEvents {
  readonly bytes: Buffer;
  /** Id of the last event that has one; undefined if none has. */
  readonly lastId: string | undefined;
}

const EMPTY = Buffer.alloc(0);

const findLastId = (events: Buffer): string | undefined =>
  events
    .toString('latin1')
    .split(/[\r\n]+/)
    .findLast((line) => line.startsWith(ID_FIELD))
    ?.slice(ID_FIELD.length)
    .trim();

/**
 * Cuts a byte stream of server-sent events after complete events. Lines end with LF, CR or both, as the
 * format allows.
 */
export class EventCutter {
  /** Bytes after the last complete event. */
  readonly #pending = new ByteCollector();

  #isLineEmpty = true;

  #followsCarriageReturn = false;

  #hasPendingField = false;

  /** Number of complete events so far. */
  count = 0;

  /**
   * Whether the stream stands inside an event. Comments and empty lines after the last event belong to
   * none.
   */
  get isInsideEvent(): boolean {
    return this.#hasPendingField;
  }

  /** Number of bytes after the last complete event. */
  get pendingSize(): number {
    return this.#pending.size;
  }

  /** Memory that is used for them, in bytes. */
  get pendingMemory(): number {
    return this.#pending.capacity;
  }

  /** Number of pieces that they came in. */
  get pendingPieces(): number {
    return this.#pending.pieces;
  }

  /**
   * Reads the next bytes.
   *
   * @param bytes - any part of the stream
   * @returns the events that these bytes complete; `bytes` is empty if they complete none
   */
  push(bytes: Buffer): CompleteEvents {
    let end = 0;
    bytes.forEach((byte, index) => {
      if (this.#readByte(byte)) end = index + 1;
    });
    if (end === 0) {
      this.#keep(bytes);
      return { bytes: EMPTY, lastId: undefined };
    }
    this.#pending.append(bytes.subarray(0, end));
    const complete = this.#pending.take();
    this.#keep(bytes.subarray(end));
    return { bytes: complete, lastId: findLastId(complete) };
  }

  /** Returns the bytes after the last complete event. */
  rest(): Buffer {
    return this.#pending.take();
  }

  /** Reads one byte and returns whether it ends an empty line, which ends the event before it. */
  #readByte(byte: number): boolean {
    const completesLineEnd = byte === LINE_FEED && this.#followsCarriageReturn;
    this.#followsCarriageReturn = byte === CARRIAGE_RETURN;
    if (completesLineEnd) return this.#isLineEmpty && !this.#hasPendingField;
    if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
      if (this.#isLineEmpty && byte !== COLON) this.#hasPendingField = true;
      this.#isLineEmpty = false;
      return false;
    }
    const endsEvent = this.#isLineEmpty;
    this.#isLineEmpty = true;
    if (!endsEvent) return false;
    if (this.#hasPendingField) this.count += 1;
    this.#hasPendingField = false;
    return true;
  }

  #keep(bytes: Buffer): void {
    if (bytes.length > 0) this.#pending.append(bytes);
  }
}
