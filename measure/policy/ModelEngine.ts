import type { Reservation } from '../../src/protocol/peer/PeerMessage.ts';
import type { Endpoint } from '../../src/state/Endpoint.ts';

const TOKENS_PER_PREFIX = 64;
const CACHED_PREFIXES = 2_000;
/** How much each further running request slows the others' decoding. */
const BATCH_SLOWDOWN = 0.04;

export interface EngineJob {
  readonly reservation: Reservation;
  readonly cachedTokens: number;
  readonly startedAt: number;
  prefillLeft: number;
  decodeLeft: number;
  firstTokenAt: number | undefined;
}

/** A continuously batching engine, advanced in small steps. Its true speed is its own secret. */
export class ModelEngine {
  readonly running = new Map<string, EngineJob>();

  readonly parked = new Map<string, EngineJob>();

  prefilledTokens = 0;

  private speed = 1;

  private readonly cache = new Set<string>();

  constructor(
    readonly endpoint: Endpoint,
    private readonly prefillPerMs: number,
    private readonly decodePerMs: number,
  ) {}

  /** Sets the factor on all speeds; a tenth makes a straggler. */
  setSpeed(speed: number): void {
    this.speed = speed;
  }

  start(reservation: Reservation, now: number): void {
    const { prefixes, promptTokens, outputTokens, id } = reservation;
    const known = prefixes.findLastIndex((prefix) => this.cache.has(prefix)) + 1;
    const cachedTokens = Math.min(promptTokens, known * TOKENS_PER_PREFIX);
    prefixes.forEach((prefix) => {
      this.cache.delete(prefix);
      this.cache.add(prefix);
    });
    while (this.cache.size > CACHED_PREFIXES) this.cache.delete([...this.cache.keys()][0] ?? '');
    this.running.set(id, {
      reservation,
      cachedTokens,
      startedAt: now,
      prefillLeft: promptTokens - cachedTokens,
      decodeLeft: outputTokens,
      firstTokenAt: undefined,
    });
  }

  /** Works for a step; gives the jobs that ended in it. */
  advance(now: number, stepMs: number): EngineJob[] {
    const active = [...this.running.values()].slice(0, this.endpoint.slots);
    const prefilling = active.filter(({ prefillLeft }) => prefillLeft > 0);
    const decodeRate =
      (this.speed * this.decodePerMs) / (1 + BATCH_SLOWDOWN * Math.max(0, active.length - 1));
    const prefillRate = (this.speed * this.prefillPerMs) / Math.max(1, prefilling.length);
    const ended: EngineJob[] = [];
    for (const job of active) {
      if (job.prefillLeft > 0) {
        const done = Math.min(job.prefillLeft, prefillRate * stepMs);
        job.prefillLeft -= done;
        this.prefilledTokens += done;
      } else {
        job.firstTokenAt ??= now;
        job.decodeLeft -= decodeRate * stepMs;
        if (job.decodeLeft <= 0) ended.push(job);
      }
    }
    ended.forEach(({ reservation }) => this.running.delete(reservation.id));
    return ended;
  }
}
