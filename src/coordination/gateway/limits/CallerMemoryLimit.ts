import type { CallerHolding, CallerMemory } from '../../../protocol/gateway/index.ts';

/** Requests and answers up to this size may use the part of the memory that larger ones may not. */
const SMALL_BYTES = 65_536;
/** Part of the memory that larger requests and answers may take together, so that small ones are served beside them. */
const LARGE_SHARE = 0.75;

interface Holding {
  readonly openedAt: number;
  readonly onYield: () => void;
  bytes: number;
  isSettled: boolean;
  /** Whether nothing of it is counted any more. */
  isReleased: boolean;
}

const isLarge = ({ bytes }: Holding): boolean => bytes > SMALL_BYTES;

/**
 * Limits the memory that the requests of callers, and answers that they don't read, take together. Beyond the limit the one
 * that has held much for long is given up first, not the one that comes next.
 */
export class CallerMemoryLimit implements CallerMemory {
  readonly #limitBytes: number;

  readonly #holdings = new Set<Holding>();

  #bytes = 0;

  #largeBytes = 0;

  /**
   * @param limitBytes - most memory for all of them together, in bytes
   */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Memory that is held, in bytes. */
  get bytes(): number {
    return this.#bytes;
  }

  open(now: number, onYield: () => void): CallerHolding {
    const holding: Holding = {
      openedAt: now,
      onYield,
      bytes: 0,
      isSettled: false,
      isReleased: false,
    };
    return {
      resize: (bytes, at) => {
        if (holding.isReleased || bytes === holding.bytes) return;
        this.#resize(holding, bytes);
        this.#enforce(at);
      },
      settle: () => {
        holding.isSettled = true;
      },
      release: () => this.#release(holding),
    };
  }

  #release(holding: Holding): void {
    this.#resize(holding, 0);
    Object.assign(holding, { isReleased: true });
  }

  #resize(holding: Holding, bytes: number): void {
    this.#bytes += bytes - holding.bytes;
    if (isLarge(holding)) this.#largeBytes -= holding.bytes;
    Object.assign(holding, { bytes });
    if (isLarge(holding)) this.#largeBytes += bytes;
    if (bytes > 0) this.#holdings.add(holding);
    else this.#holdings.delete(holding);
  }

  /** Gives up what exceeds the limit. A single request is never given up, so that each is served while there is no other. */
  #enforce(now: number): void {
    while (this.#holdings.size > 1) {
      const isFull = this.#bytes > this.#limitBytes;
      const isFullOfLarge = this.#largeBytes > LARGE_SHARE * this.#limitBytes;
      if (!isFull && !isFullOfLarge) return;
      const victim = this.#selectVictim(now, isFull ? () => true : isLarge);
      if (victim === undefined) return;
      this.#release(victim);
      victim.onYield();
    }
  }

  #selectVictim(now: number, isEligible: (holding: Holding) => boolean): Holding | undefined {
    const costOf = ({ bytes, openedAt }: Holding): number => bytes * (1 + now - openedAt);
    let victim: Holding | undefined;
    this.#holdings.forEach((holding) => {
      if (holding.isSettled || !isEligible(holding)) return;
      if (victim === undefined || costOf(holding) > costOf(victim)) victim = holding;
    });
    return victim;
  }
}
