import type { ClockMoment } from '../../../protocol/peer/GatewayMessages.ts';
import type { Pause } from './PauseDetector.ts';

/**
 * Time in which the store answers no member after which entries may have expired because it was unavailable. In a
 * shorter one no endpoint misses enough of its heartbeats.
 */
export const EXPIRY_OUTAGE_MS = 2_300;

/** A time at whose ends, and never much apart in between, the store answered some member of the group; in ms. */
export interface ContactSpan {
  readonly from: number;
  readonly until: number;
  /** Its end by the clock of the member that was answered, if that is known. */
  readonly untilMoment?: ClockMoment | undefined;
}

/** A time in which the store answered no member of the group, so that entries may have expired; in ms. */
export interface Outage {
  readonly startedAt: number;
  /** Infinite while it lasts. */
  readonly endedAt: number;
}

/** Spans that are remembered; an outage matters for a few seconds after its end. */
const MAXIMUM_SPANS = 4;

const overlapMs = (a: ContactSpan, b: ContactSpan): number =>
  Math.max(0, Math.min(a.until, b.until) - Math.max(a.from, b.from));

/**
 * When the store answered any member of the group, as far as this process has heard. Members tell each other, so that
 * an outage is what all of them saw: a process that the store alone doesn't answer learns here that there is none, also
 * afterwards.
 */
export class StoreContact {
  /** In order, with an outage between each two. */
  #spans: readonly ContactSpan[] = [];

  /** Times in which this process could hear nothing. They are not told to others. */
  #pauses: readonly ContactSpan[] = [];

  /** The time up to the last answer that any member got, which is told to peers; undefined before the first. */
  get latest(): ContactSpan | undefined {
    return this.#spans.at(-1);
  }

  /**
   * Records that the store answered a member.
   *
   * @param span - when, in ms; one answer has a span of one moment
   */
  record(span: ContactSpan): void {
    const isNear = ({ from, until }: ContactSpan): boolean =>
      span.from - until <= EXPIRY_OUTAGE_MS && from - span.until <= EXPIRY_OUTAGE_MS;
    const near = [span, ...this.#spans.filter(isNear)];
    const last = near.reduce((a, b) => (b.until > a.until ? b : a));
    const merged = { ...last, from: Math.min(...near.map(({ from }) => from)) };
    const others = this.#spans.filter((other) => !isNear(other));
    this.#spans = [...others, merged].sort((a, b) => a.from - b.from).slice(-MAXIMUM_SPANS);
  }

  /**
   * Records that this process was paused until now. What it didn't hear meanwhile is no sign of an outage.
   *
   * @param pause - how long, by which clock
   * @param now - current time, in ms
   */
  recordPause({ countedMs, uncountedMs }: Pause, now: number): void {
    const age = ({ from, until, ...span }: ContactSpan): ContactSpan => ({
      ...span,
      from: from - uncountedMs,
      until: until - uncountedMs,
    });
    this.#spans = this.#spans.map(age);
    const pause = { from: now - countedMs - uncountedMs, until: now };
    this.#pauses = [...this.#pauses.map(age), pause].slice(-MAXIMUM_SPANS);
  }

  /**
   * Returns the last outage.
   *
   * @param now - current time, in ms
   * @returns undefined if the group knows of none
   */
  outage(now: number): Outage | undefined {
    const starts = this.#spans.map(({ until }) => until);
    const ends = [...this.#spans.slice(1).map(({ from }) => from), Number.POSITIVE_INFINITY];
    return starts
      .map((startedAt, index) => ({ startedAt, endedAt: ends[index] as number }))
      .findLast(({ startedAt, endedAt }) => {
        const silence = { from: startedAt, until: Math.min(now, endedAt) };
        const pausedMs = this.#pauses.reduce((sum, pause) => sum + overlapMs(silence, pause), 0);
        return silence.until - silence.from - pausedMs > EXPIRY_OUTAGE_MS;
      });
  }
}
