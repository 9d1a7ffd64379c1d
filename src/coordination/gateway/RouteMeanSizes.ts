import type { PlacementTicket } from '../../protocol/peer/Placement.ts';

/** An output token takes about as long to make as this many prompt tokens take to read. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
const LEARNING_RATE = 0.05;
/** Requests of more than this many times the mean size count as large; about a tenth does. */
const LARGE_FACTOR = 2.2;
/** What an answer is worth to its caller: a fixed part, and a part by size up to a most. */
const FIXED_WORTH = 0.3;
const WORTH_BY_SIZE = 0.7;
const MOST_WORTH = 4;

const sizeOf = ({ promptTokens, outputTokens }: PlacementTicket): number =>
  promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * outputTokens;

/** The mean size of each route's requests, by which one of them counts as small or large. */
export class RouteSizes {
  readonly #means = new Map<string, number>();

  /** Learns from a request. */
  learn(ticket: PlacementTicket): void {
    const size = sizeOf(ticket);
    const mean = this.#means.get(ticket.route) ?? size;
    this.#means.set(ticket.route, mean + LEARNING_RATE * (size - mean));
  }

  /** Tells whether a request is among the largest of its route. */
  isLarge(ticket: PlacementTicket): boolean {
    return this.#relative(ticket) > LARGE_FACTOR;
  }

  /** Gives what an answer is worth against the mean one of its route. */
  worth(ticket: PlacementTicket): number {
    return Math.min(MOST_WORTH, FIXED_WORTH + WORTH_BY_SIZE * this.#relative(ticket));
  }

  #relative(ticket: PlacementTicket): number {
    const mean = this.#means.get(ticket.route);
    return mean === undefined || mean === 0 ? 1 : sizeOf(ticket) / mean;
  }
}
