import type { PrefixCache } from './PrefixCache.ts';
import type { Run } from './Run.ts';

const MS_PER_SECOND = 1_000;

/** Receives what a run generates. */
export interface Sink {
  readonly onTokens: (run: Run) => void;
  readonly onEnd: (run: Run) => void;
  /** Nobody has read its answer for too long. */
  readonly onAbandoned: (run: Run) => void;
}

/** How fast a batch works. */
export interface BatchSpeed {
  readonly slots: number;
  /** Shared by all runs in prefill. */
  readonly prefillTokensPerSecond: number;
  /** Of a run that is alone. */
  readonly decodeTokensPerSecond: number;
  /** By how much each further run in the batch slows all others' decoding. */
  readonly decodeSlowdown: number;
  readonly chunkIntervalMs: number;
  readonly orphanMs: number;
}

/** Continuous batching without priorities: runs are admitted as they arrive and wait for a slot in that order. */
export class Batch {
  readonly running = new Set<Run>();

  readonly waiting: Run[] = [];

  prefillDone = 0;

  private steppedAt = 0;

  constructor(
    private readonly speed: BatchSpeed,
    private readonly cache: PrefixCache,
    private readonly sink: Sink,
  ) {}

  get idle(): boolean {
    return this.running.size === 0 && this.waiting.length === 0;
  }

  add(run: Run, now: number): void {
    if (this.idle) this.steppedAt = now;
    this.waiting.push(run);
    this.admit();
  }

  /** Frees the run's slot or place in the queue. */
  remove(run: Run, state: Run['state']): void {
    Object.assign(run, { state });
    this.running.delete(run);
    const place = this.waiting.indexOf(run);
    if (place >= 0) this.waiting.splice(place, 1);
  }

  /** Works off the time since the last step, at a share of the usual speed. */
  step(now: number, factor: number): void {
    const seconds = ((now - this.steppedAt) / MS_PER_SECOND) * factor;
    this.steppedAt = now;
    this.admit();
    const runs = [...this.running];
    const inPrefill = runs.filter(({ prefillLeft }) => prefillLeft > 0);
    const inDecode = runs.filter(({ prefillLeft }) => prefillLeft <= 0);
    inPrefill.forEach((run) => this.prefill(run, seconds / inPrefill.length, now));
    const slowdown = 1 + this.speed.decodeSlowdown * Math.max(0, inDecode.length - 1);
    inDecode.forEach((run) => this.decode(run, seconds / slowdown, now));
    runs
      .concat(this.waiting)
      .filter(({ orphanedAt = now }) => now - orphanedAt > this.speed.orphanMs)
      .forEach((run) => this.sink.onAbandoned(run));
  }

  /** Ends a run with its whole answer at once, without waiting for a step. */
  complete(run: Run, now: number): void {
    Object.assign(run, { prefillLeft: 0, produced: run.outputTokens });
    this.tell(run, now);
  }

  private admit(): void {
    while (this.running.size < this.speed.slots && this.waiting.length > 0) {
      const run = this.waiting.shift() as Run;
      if (run.chunks.length === 0 && run.produced === 0) {
        const cached = Math.min(this.cache.cachedTokens(run.prefixes), run.promptTokens - 1);
        run.cachedTokens = Math.max(0, cached);
        run.prefillLeft = run.promptTokens - run.cachedTokens;
      }
      run.state = 'running';
      this.running.add(run);
    }
  }

  private prefill(run: Run, seconds: number, now: number): void {
    const tokens = (seconds * this.speed.prefillTokensPerSecond) / run.slowness;
    this.prefillDone += Math.min(tokens, run.prefillLeft);
    Object.assign(run, { prefillLeft: run.prefillLeft - tokens });
    if (run.prefillLeft <= 0) this.cache.store(run.prefixes, now);
  }

  private decode(run: Run, seconds: number, now: number): void {
    const tokens = (seconds * this.speed.decodeTokensPerSecond) / run.slowness;
    Object.assign(run, { produced: Math.min(run.outputTokens, run.produced + tokens) });
    const due = run.told === 0 || now - run.toldAt >= this.speed.chunkIntervalMs;
    if (run.produced >= run.outputTokens || (due && Math.floor(run.produced) > run.told)) {
      this.tell(run, now);
    }
  }

  private tell(run: Run, now: number): void {
    const tokens = Math.floor(run.produced) - run.told;
    run.chunks.push(`${run.told === 0 ? run.id : ''}${' w'.repeat(tokens)}`);
    Object.assign(run, { told: run.told + tokens, toldAt: now });
    this.sink.onTokens(run);
    if (run.state === 'running' && run.produced >= run.outputTokens) {
      this.remove(run, 'completed');
      this.sink.onEnd(run);
    }
  }
}
