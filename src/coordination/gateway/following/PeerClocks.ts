import type { ClockMoment } from '../../../protocol/peer/GatewayMessages.ts';

/** Clocks whose offset is remembered. */
const MAXIMUM_CLOCKS = 1_024;

/**
 * The monotonic clocks of other processes, as far as their messages tell. A peer says how long ago something was, which is
 * late here by the time of its message on the way, and later by each further message. With the moment by the clock of the
 * process that saw it, a thing that is heard again is known to be the same, and its earliest time holds.
 */
export class PeerClocks {
  readonly #incarnation: string;

  /** Smallest known difference of the own clock to each other one, in ms; the message that took the least time gives it. */
  readonly #offsets = new Map<string, number>();

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
   * @returns the time in ms, never later than the estimate
   */
  toLocal(moment: ClockMoment | undefined, estimate: number): number {
    if (moment === undefined) return estimate;
    const { clock, at } = moment;
    if (clock === this.#own) return Math.min(at, estimate);
    const offset = Math.min(this.#offsets.get(clock) ?? Number.POSITIVE_INFINITY, estimate - at);
    this.#offsets.delete(clock);
    this.#offsets.set(clock, offset);
    const [oldest] = this.#offsets.keys();
    if (this.#offsets.size > MAXIMUM_CLOCKS && oldest !== undefined) this.#offsets.delete(oldest);
    return at + offset;
  }

  get #own(): string {
    return `${this.#incarnation}/${this.#pauses}`;
  }
}
