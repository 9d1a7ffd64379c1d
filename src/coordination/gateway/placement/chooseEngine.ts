import type { PlacementTicket } from '../../../protocol/peer/GatewayMessages.ts';
import type { EngineLoad } from './EngineLoad.ts';

/** An engine with its expected times for one request. */
export interface EngineCandidate {
  readonly engine: EngineLoad;
  /** Expected time to first token, in ms. */
  readonly firstTokenMs: number;
  /** Expected time to the end of the answer, in ms. */
  readonly totalMs: number;
  /** Prompt tokens that the engine processes before the first token. */
  readonly prefillTokens: number;
}

/** Conditions that a placement must meet. */
export interface PlacementLimits {
  /** Time left until the first token is late, in ms; infinite if it may be late. */
  readonly targetMs: number;
  /** Time left to the deadline, in ms. */
  readonly remainingMs: number;
  /** Current time, in ms. */
  readonly now: number;
  /** Factor by which an engine is slower than its speed estimate, because it is cold; 1 if absent. */
  readonly slowdownOf?: (engine: EngineLoad) => number;
  /** Number of requests that an engine may run at once. */
  readonly slotLimitOf: (engine: EngineLoad) => number;
}

/** Fraction of the remaining time that the expected time to the end may use. */
const REMAINING_TIME_SAFETY_FACTOR = 0.9;
/**
 * Factor by which the expected time may exceed the remaining time at one of the fastest engines,
 * since the output length is only an estimate.
 */
const OUTPUT_LENGTH_ERROR_FACTOR = 1.7;
/** An engine is one of the fastest up to this multiple of the shortest expected time. */
const NEAR_FASTEST_FACTOR = 1.25;
/**
 * Prompt tokens that engines with continuous batching commonly process between two decode steps.
 */
const PREFILL_CHUNK_TOKENS = 4_096;
/** Fraction of the longest allowed pause between tokens that prefill may take. */
const PREFILL_SHARE_OF_GAP = 0.8;
/**
 * Upper bound of the failure rate in the expected cost, which keeps the cost finite. An engine with
 * a higher failure rate gets requests only if the others have no free slots.
 */
const MAXIMUM_COUNTED_FAILURE_RATE = 0.9;

const estimateCandidate = (
  ticket: PlacementTicket,
  engine: EngineLoad,
  { now, slowdownOf }: Pick<PlacementLimits, 'now' | 'slowdownOf'>,
): EngineCandidate => {
  const { speed } = engine;
  const slowdown = slowdownOf?.(engine) ?? 1;
  const prefillTokens = engine.pendingPrefillTokens(now) + ticket.promptTokens;
  const firstTokenMs = slowdown * speed.estimateFirstTokenMs(prefillTokens);
  return {
    engine,
    prefillTokens,
    firstTokenMs,
    totalMs: firstTokenMs + slowdown * ticket.outputTokens * speed.decodeMsPerToken,
  };
};

/**
 * Whether the prefill would stall running streams for longer than the allowed pause between tokens.
 * The streams are assumed to have the same allowed pause and tokens per event as the request.
 */
const wouldStallStreams = (
  ticket: PlacementTicket,
  { engine, prefillTokens }: EngineCandidate,
): boolean => {
  if (engine.decodingRequestCount() === 0) return false;
  const maximumPrefillTokensBetweenEvents = ticket.tokensPerEvent * PREFILL_CHUNK_TOKENS;
  const prefillMs =
    Math.min(prefillTokens, maximumPrefillTokensBetweenEvents) * engine.speed.prefillMsPerToken;
  return prefillMs > ticket.gapMs * PREFILL_SHARE_OF_GAP;
};

/**
 * Chooses the engine with a free slot that is expected to finish the request soonest, weighted by
 * its failure rate, among those that meet the limits and don't stall running streams.
 *
 * @param ticket - the request
 * @param engines - the engines that may get it
 * @param limits - the conditions that the placement must meet
 * @returns the chosen engine, or undefined if no engine with a free slot is suitable
 */
export const chooseEngine = (
  ticket: PlacementTicket,
  engines: readonly EngineLoad[],
  limits: PlacementLimits,
): EngineCandidate | undefined => {
  const { targetMs, remainingMs, slotLimitOf } = limits;
  const enginesWithFreeSlot = engines.filter((engine) => engine.running.size < slotLimitOf(engine));
  if (enginesWithFreeSlot.length === 0) return undefined;
  let fastestTotalMs: number | undefined;
  const getFastestTotalMs = (): number => {
    fastestTotalMs ??= Math.min(
      ...engines.map((engine) => estimateCandidate(ticket, engine, limits).totalMs),
    );
    return fastestTotalMs;
  };
  // The output length is only an estimate, so a request that may be too long is still placed at one
  // of the fastest engines.
  const mayMeetDeadline = ({ totalMs }: EngineCandidate): boolean =>
    totalMs <= remainingMs * REMAINING_TIME_SAFETY_FACTOR ||
    (totalMs <= remainingMs * OUTPUT_LENGTH_ERROR_FACTOR &&
      totalMs <= getFastestTotalMs() * NEAR_FASTEST_FACTOR);
  const failureWeightedMs = (candidate: EngineCandidate): number =>
    candidate.totalMs /
    (1 - Math.min(MAXIMUM_COUNTED_FAILURE_RATE, candidate.engine.availability.failureRate));
  let best: EngineCandidate | undefined;
  let bestMs = Number.POSITIVE_INFINITY;
  // Runs for each waiting request and each free engine, so the cheap comparisons come first.
  enginesWithFreeSlot.forEach((engine) => {
    const candidate = estimateCandidate(ticket, engine, limits);
    const candidateMs = failureWeightedMs(candidate);
    if (candidateMs >= bestMs || candidate.firstTokenMs > targetMs) return;
    if (!mayMeetDeadline(candidate) || wouldStallStreams(ticket, candidate)) return;
    best = candidate;
    bestMs = candidateMs;
  });
  return best;
};
