/** A span of time in which something was harmed or worked on. */
export interface Disturbance {
  readonly kind: 'planned' | 'unplanned';
  readonly what: string;
  /** The gateway that it concerns; all of them where none is named. */
  readonly gateway: string | undefined;
  readonly from: number;
  /** Undefined while it goes on. */
  to: number | undefined;
}

/** Time after a fault in which its effects may still show. */
const SETTLING_MS = 3_000;

/** What was done to the system and when, by which checks tell what may be asked of it. */
export class FaultHistory {
  readonly #all: Disturbance[] = [];

  /** Notes that something begins; the result is ended by `end`. */
  begin(disturbance: Omit<Disturbance, 'to'>): Disturbance {
    const entry: Disturbance = { ...disturbance, to: undefined };
    this.#all.push(entry);
    return entry;
  }

  /** Tells whether no unplanned fault that concerns a gateway shows between two times. */
  isCalm(gateway: string, from: number, to: number): boolean {
    return !this.#all.some(
      (entry) =>
        entry.kind === 'unplanned' &&
        (entry.gateway === undefined || entry.gateway === gateway) &&
        entry.from <= to &&
        (entry.to === undefined || entry.to + SETTLING_MS >= from),
    );
  }

  /** When the last unplanned fault of such a length ended, or a time before all where there was none. */
  lastFaultEndedAt(leastMs: number): number {
    const ends = this.#all
      .filter(({ kind, from, to }) => kind === 'unplanned' && (to ?? from) - from >= leastMs)
      .map(({ from, to }) => to ?? from);
    return Math.max(Number.NEGATIVE_INFINITY, ...ends);
  }

  /** What was done up to a time, newest last. */
  before(at: number, count: number): readonly Disturbance[] {
    return this.#all.filter(({ from }) => from <= at).slice(-count);
  }
}
