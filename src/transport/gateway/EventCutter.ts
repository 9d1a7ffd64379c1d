const ID_FIELD = 'id:';

/** Whole events of a stream, and the id of the last of them. */
export interface WholeEvents {
  readonly bytes: Buffer;
  readonly lastId: string | undefined;
  readonly count: number;
}

const NOTHING: WholeEvents = { bytes: Buffer.alloc(0), lastId: undefined, count: 0 };

const lastIdOf = (text: string): string | undefined => {
  const line = text
    .split('\n')
    .reverse()
    .find((candidate) => candidate.startsWith(ID_FIELD));
  return line?.slice(ID_FIELD.length).trim();
};

/** Cuts a byte stream of server-sent events after whole events. */
export class EventCutter {
  #rest: Buffer = NOTHING.bytes;

  /** Takes bytes and gives the events that they complete. */
  push(bytes: Uint8Array): WholeEvents {
    const all = this.#rest.length === 0 ? Buffer.from(bytes) : Buffer.concat([this.#rest, bytes]);
    const end = all.lastIndexOf('\n\n');
    if (end < 0) {
      this.#rest = all;
      return NOTHING;
    }
    const whole = all.subarray(0, end + 2);
    this.#rest = all.subarray(end + 2);
    const text = whole.toString('latin1');
    return { bytes: whole, lastId: lastIdOf(text), count: text.split('\n\n').length - 1 };
  }

  /** Gives what followed the last whole event. */
  rest(): Buffer {
    return this.#rest;
  }
}
