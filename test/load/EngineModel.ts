/** What one request asks of an engine. */
export interface EngineWork {
  readonly id: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Times of an engine of slowness 1. */
export interface EngineCalibration {
  /** Time of a step that makes one token for each running request, without the part of each. */
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  readonly promptTokensPerMs: number;
  /** Prompt tokens that one step processes at most. */
  readonly chunkTokens: number;
}

/** How fast an engine is; times are multiplied by `slowness`. */
export interface EngineShape {
  readonly slots: number;
  readonly slowness: number;
  /** The brokerage's unless given. */
  readonly calibration?: EngineCalibration;
  /** A time in which the engine does nothing with what it gets, and says so at once. */
  readonly fault?: {
    readonly outcome: 'failed' | 'turnedAway';
    readonly fromMs: number;
    readonly toMs: number;
  };
  /** A time in which its answers state how many requests a second it accepts. */
  readonly limit?: {
    readonly requestsPerSecond: number;
    readonly fromMs: number;
    readonly toMs: number;
  };
}

/** What an engine tells while it works. */
export interface EngineListener {
  readonly onToken: (id: string, now: number, tokens: number) => void;
  readonly onEnd: (id: string, now: number) => void;
}

interface Running {
  readonly work: EngineWork;
  unread: number;
  made: number;
}

/** Times of the brokerage's engines. */
const BROKERAGE_CALIBRATION: EngineCalibration = {
  stepMs: 3.88,
  stepMsPerRequest: 0.0276,
  promptTokensPerMs: 66.2,
  chunkTokens: 4_096,
};

/** Returns the times of an engine before they are multiplied by its slowness. */
export const calibrationOf = ({ calibration }: EngineShape): EngineCalibration =>
  calibration ?? BROKERAGE_CALIBRATION;

const FIRST_TOKEN_MS = 12;

/** An engine with continuous batching: prompts are read in chunks between the tokens of other requests. */
export class EngineModel {
  readonly #shape: EngineShape;

  readonly #calibration: EngineCalibration;

  readonly #listener: EngineListener;

  readonly #running: Running[] = [];

  readonly #queue: EngineWork[] = [];

  /** End of the step under way; undefined while idle. */
  nextAt: number | undefined;

  constructor(shape: EngineShape, listener: EngineListener) {
    this.#shape = shape;
    this.#calibration = calibrationOf(shape);
    this.#listener = listener;
  }

  /** How the engine ends a request at once that comes now, or undefined where it takes it. */
  faultAt(now: number): 'failed' | 'turnedAway' | undefined {
    const { fault } = this.#shape;
    return fault !== undefined && now >= fault.fromMs && now < fault.toMs
      ? fault.outcome
      : undefined;
  }

  /** Requests a second that its answers state now; undefined where they state none. */
  limitAt(now: number): number | undefined {
    const { limit } = this.#shape;
    return limit !== undefined && now >= limit.fromMs && now < limit.toMs
      ? limit.requestsPerSecond
      : undefined;
  }

  /** Adds a request, which waits where all slots are taken. */
  add(work: EngineWork, now: number): void {
    this.#queue.push(work);
    this.#admit();
    this.nextAt ??= now + FIRST_TOKEN_MS * this.#shape.slowness;
  }

  /** Takes a request out. */
  cancel(id: string): void {
    const queued = this.#queue.findIndex((work) => work.id === id);
    if (queued >= 0) this.#queue.splice(queued, 1);
    const running = this.#running.findIndex(({ work }) => work.id === id);
    if (running >= 0) this.#running.splice(running, 1);
    this.#admit();
  }

  /** Ends the step that is due at `nextAt` and begins the next one. */
  step(now: number): void {
    this.#makeTokens(now);
    this.#admit();
    if (this.#running.length === 0) {
      this.nextAt = undefined;
      return;
    }
    const { stepMs, stepMsPerRequest, promptTokensPerMs } = this.#calibration;
    const readMs = this.#read() / promptTokensPerMs;
    const decodeMs = stepMs + stepMsPerRequest * this.#running.length;
    this.nextAt = now + (decodeMs + readMs) * this.#shape.slowness;
  }

  #admit(): void {
    while (this.#running.length < this.#shape.slots) {
      const work = this.#queue.shift();
      if (work === undefined) return;
      this.#running.push({ work, unread: work.promptTokens, made: 0 });
    }
  }

  #read(): number {
    const { chunkTokens } = this.#calibration;
    let budget = chunkTokens;
    this.#running.forEach((running) => {
      const entry = running;
      const part = Math.min(budget, entry.unread);
      entry.unread -= part;
      budget -= part;
    });
    return chunkTokens - budget;
  }

  #makeTokens(now: number): void {
    const ended: Running[] = [];
    this.#running.forEach((running) => {
      const entry = running;
      if (entry.unread > 0) return;
      entry.made += 1;
      this.#listener.onToken(entry.work.id, now, entry.made);
      if (entry.made >= entry.work.outputTokens) ended.push(entry);
    });
    ended.forEach((entry) => {
      this.#running.splice(this.#running.indexOf(entry), 1);
      this.#listener.onEnd(entry.work.id, now);
    });
  }
}
