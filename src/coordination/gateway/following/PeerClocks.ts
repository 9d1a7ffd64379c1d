import type { ClockMoment } from '../../../protocol/peer/GatewayMessages.ts';

/** Clocks whose offset is remembered. */
const MAXIMUM_CLOCKS = 1_024;

/** Time for which a message counts at least: clocks run at slightly different rates, and may stand still for a moment. */
const WINDOW_MS = 10_000;

/** Smallest differences of the own clock to another one in the present window and the one before, in ms. */
interface Offset {
  readonly windowStart: number;
  readonly present: number;
  readonly before: number;
}

const nextOffset = (known: Offset | undefined, difference: number, now: number): Offset => {
  const first = { windowStart: now, present: difference, before: Number.POSITIVE_INFINITY };
  const sinceMs = now - (known?.windowStart ?? Number.NEGATIVE_INFINITY);
  if (known === undefined || sinceMs >= 2 * WINDOW_MS) return first;
  if (sinceMs >= WINDOW_MS) return { ...first, before: known.present };
  return { ...known, present: Math.min(known.present, difference) };
};

/**
 * The monotonic clocks of other processes, as far as their messages tell. A peer says how long ago something was, which is
 * late here by the time of its message on the way, and later by each further message. With the moment by the clock of the
 * process that saw it, a thing that is heard again is known to be the same, and its earliest time holds.
 */
export class PeerClocks {
  readonly #incarnation: string;

  /** By clock. The message that took the least time gives the smallest difference. */
  readonly #offsets = new Map<string, Offset>();

  /** Number of pauses of this process, in which its clock may have stood still. */
  #pauses = 0;

  /**
   * @param incarnation - this start of this process
   */
  constructor(incarnation: string) {
    this.#incarnation = incarnation;
  }

  /**
   * Returns a moment in the form in which peers are told of it.
   *
   * @param at - by the own clock, in ms
   */
  momentOf(at: number): ClockMoment {
    return { clock: this.#own, at };
  }

  /** Records a pause of this process: its clock counts as another one from now on. */
  recordPause(): void {
    this.#pauses += 1;
    this.#offsets.clear();
  }

  /**
   * Returns when something was by the own clock.
   *
   * @param moment - when it was by the clock of the process that saw it; undefined if the peer doesn't say
   * @param estimate - when it was by the own clock as the peer's message tells, too late by the time on the way, in ms
   * @param now - present time in ms, monotonic
   * @returns the time in ms, never later than the estimate
   */
  toLocal(moment: ClockMoment | undefined, estimate: number, now: number): number {
    if (moment === undefined) return estimate;
    const { clock, at } = moment;
    if (clock === this.#own) return Math.min(at, estimate);
    const offset = this.#observe(clock, estimate - at, now);
    return at + Math.min(offset.present, offset.before);
  }

  #observe(clock: string, difference: number, now: number): Offset {
    const offset = nextOffset(this.#offsets.get(clock), difference, now);
    this.#offsets.delete(clock);
    this.#offsets.set(clock, offset);
    const [oldest] = this.#offsets.keys();
    if (this.#offsets.size > MAXIMUM_CLOCKS && oldest !== undefined) this.#offsets.delete(oldest);
    return offset;
  }

  get #own(): string {
    return `${this.#incarnation}/${this.#pauses}`;
  }
}
