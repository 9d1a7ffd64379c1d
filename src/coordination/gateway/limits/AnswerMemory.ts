/** Most memory for the unfinished answers of a process: a part of what the heap leaves of a small instance. */
const MAXIMUM_BYTES = 32 * 1024 * 1024;

/** An unfinished answer that is held in memory. */
export interface HeldAnswer {
  /** Records how much memory the answer takes now, in bytes. */
  readonly resize: (bytes: number) => void;
  /** Records that nothing of the answer is held any more. */
  readonly release: () => void;
}

interface Holding {
  readonly source: string;
  readonly onYield: () => void;
  bytes: number;
}

/**
 * Limits the memory for all unfinished answers of a process together. Beyond it the source that holds most yields its
 * largest answer, so that one that sends without end takes nothing from the answers of others.
 */
export class AnswerMemory {
  readonly #limitBytes: number;

  readonly #holdings = new Map<string, Set<Holding>>();

  #bytes = 0;

  /**
   * @param limitBytes - most memory for all answers together, in bytes
   */
  constructor(limitBytes = MAXIMUM_BYTES) {
    this.#limitBytes = limitBytes;
  }

  /** Memory that is held, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Begins an answer.
   *
   * @param source - the endpoint or peer that sends it
   * @param onYield - called if the answer has to be given up; nothing of it is counted any more then
   * @returns records the size of the answer
   */
  open(source: string, onYield: () => void): HeldAnswer {
    const holding: Holding = { source, onYield, bytes: 0 };
    return {
      resize: (bytes) => this.#resize(holding, bytes),
      release: () => this.#remove(holding),
    };
  }

  #resize(holding: Holding, bytes: number): void {
    this.#bytes += bytes - holding.bytes;
    Object.assign(holding, { bytes });
    const holdings = this.#holdings.get(holding.source) ?? new Set();
    this.#holdings.set(holding.source, holdings.add(holding));
    while (this.#bytes > this.#limitBytes) this.#yieldLargest();
  }

  #remove(holding: Holding): void {
    const holdings = this.#holdings.get(holding.source);
    if (holdings === undefined || !holdings.delete(holding)) return;
    this.#bytes -= holding.bytes;
    Object.assign(holding, { bytes: 0 });
    if (holdings.size === 0) this.#holdings.delete(holding.source);
  }

  #yieldLargest(): void {
    const sizeOf = (holdings: ReadonlySet<Holding>): number =>
      [...holdings].reduce((sum, { bytes }) => sum + bytes, 0);
    const sources = [...this.#holdings.values()];
    const largest = sources.reduce((a, b) => (sizeOf(b) > sizeOf(a) ? b : a));
    const holding = [...largest].reduce((a, b) => (b.bytes > a.bytes ? b : a));
    this.#remove(holding);
    holding.onYield();
  }
}
