import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';

/** Decoding an output token takes about as long as the prefill of this many prompt tokens. */
const PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;
/** Weight of the newest request in the moving average of sizes. */
const MEAN_SIZE_SMOOTHING = 0.05;
/** A request counts as large above this multiple of the mean size; about a tenth of all do. */
const LARGE_SIZE_RATIO = 2.2;
/** A request belongs to the largest three tenths above this multiple of the mean size, as sizes are log-normal. */
const MEDIUM_SIZE_RATIO = 1;
/**
 * A request's weight in the queue order: a fixed part plus a part in proportion to its size relative
 * to the route's mean, up to a maximum.
 */
const BASE_VALUE = 0.3;
const VALUE_PER_RELATIVE_SIZE = 0.7;
const MAXIMUM_VALUE = 4;

const sizeInPromptTokens = ({ promptTokens, outputTokens }: PlacementTicket): number =>
  promptTokens + PROMPT_TOKENS_PER_OUTPUT_TOKEN * outputTokens;

/** The largest tenth of a route's requests, the fifth below it, or the rest. */
export type SizeGroup = 'tenth' | 'fifth' | 'rest';

/** Mean request size of each route, and the size of single requests relative to it. */
export class RouteMeanSizes {
  readonly #means = new Map<string, number>();

  /** Updates the mean size of the request's route. */
  record(ticket: PlacementTicket): void {
    const size = sizeInPromptTokens(ticket);
    const mean = this.#means.get(ticket.route) ?? size;
    this.#means.set(ticket.route, mean + MEAN_SIZE_SMOOTHING * (size - mean));
  }

  /** Whether a request is among the largest of its route, about a tenth of them. */
  isLarge(ticket: PlacementTicket): boolean {
    return this.#relativeSize(ticket) > LARGE_SIZE_RATIO;
  }

  /** Returns whether a request is about in the largest tenth of its route, in the fifth below, or in the rest. */
  sizeGroup(ticket: PlacementTicket): SizeGroup {
    const size = this.#relativeSize(ticket);
    if (size > LARGE_SIZE_RATIO) return 'tenth';
    return size > MEDIUM_SIZE_RATIO ? 'fifth' : 'rest';
  }

  /**
   * Value that serving the request has for the queue order; 1 for a request of the route's mean
   * size.
   */
  answerValue(ticket: PlacementTicket): number {
    return Math.min(
      MAXIMUM_VALUE,
      BASE_VALUE + VALUE_PER_RELATIVE_SIZE * this.#relativeSize(ticket),
    );
  }

  #relativeSize(ticket: PlacementTicket): number {
    const mean = this.#means.get(ticket.route);
    return mean === undefined || mean === 0 ? 1 : sizeInPromptTokens(ticket) / mean;
  }
}
