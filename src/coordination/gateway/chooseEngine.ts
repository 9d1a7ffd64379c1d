import type { PlacementTicket } from '../../protocol/peer/Placement.ts';
import type { EngineLoad } from './EngineLoad.ts';

/** An engine with what is expected of it for one request. */
export interface EngineChoice {
  readonly engine: EngineLoad;
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly tokensToRead: number;
}

/** Limits that an expected answer must keep. */
export interface ChoiceLimits {
  /** Time left to the first token for an answer on time. */
  readonly targetMs: number;
  /** Time left to the end. */
  readonly remainingMs: number;
  /** Present time in ms. */
  readonly now: number;
  readonly slotsOf: (engine: EngineLoad) => number;
}

/** Part of the time left that an expected end may use. */
const SAFE_SHARE_OF_REMAINING = 0.9;
/** How far an expected end may go over the time left where no engine would be sooner. */
const LENGTH_DOUBT = 1.7;
/** How much later than the soonest an engine may end an answer to count as one of the fastest. */
const ABOUT_AS_FAST = 1.25;
/** Prompt tokens that engines with continuous batching commonly read between two tokens. */
const READ_CHUNK_TOKENS = 4_096;
/** Part of the longest pause that reading prompts may take from running streams. */
const READING_SHARE_OF_GAP = 0.8;
/** An engine that fails more of its requests than this gets none while others have room. */
const WORST_FAILURE_RATE = 0.9;

const estimateCandidate = (
  ticket: PlacementTicket,
  engine: EngineLoad,
  now: number,
): EngineChoice => {
  const { estimate } = engine;
  const tokensToRead = engine.tokensUnread(now) + ticket.promptTokens;
  const firstTokenMs = estimate.firstTokenMs(tokensToRead);
  return {
    engine,
    tokensToRead,
    firstTokenMs,
    totalMs: firstTokenMs + ticket.outputTokens * estimate.decodeMsPerToken,
  };
};

/** Tells whether reading the prompt would hold up streams that already run there. */
const delaysStreams = (
  ticket: PlacementTicket,
  { engine, tokensToRead }: EngineChoice,
): boolean => {
  if (engine.streaming() === 0) return false;
  const mostBetweenEvents = ticket.tokensPerEvent * READ_CHUNK_TOKENS;
  const readingMs = Math.min(tokensToRead, mostBetweenEvents) * engine.estimate.readMsPerToken;
  return readingMs > ticket.gapMs * READING_SHARE_OF_GAP;
};

/**
 * Chooses among engines with a free slot the one that is expected to end the request soonest, with
 * its first token on time.
 *
 * @param ticket - the request
 * @param engines - engines that may get it
 * @param limits - what the answer must keep
 * @returns the choice, or undefined where no free slot will do
 */
export const chooseEngine = (
  ticket: PlacementTicket,
  engines: readonly EngineLoad[],
  { targetMs, remainingMs, now, slotsOf }: ChoiceLimits,
): EngineChoice | undefined => {
  const open = engines.filter((engine) => engine.running.size < slotsOf(engine));
  if (open.length === 0) return undefined;
  let soonest: number | undefined;
  const soonestMs = (): number => {
    soonest ??= Math.min(
      ...engines.map((engine) => estimateCandidate(ticket, engine, now).totalMs),
    );
    return soonest;
  };
  // The length of an answer is only estimated: where even the fastest engine may be too slow, it is tried.
  const mayEnd = ({ totalMs }: EngineChoice): boolean =>
    totalMs <= remainingMs * SAFE_SHARE_OF_REMAINING ||
    (totalMs <= remainingMs * LENGTH_DOUBT && totalMs <= soonestMs() * ABOUT_AS_FAST);
  const weighed = (choice: EngineChoice): number =>
    choice.totalMs / (1 - Math.min(WORST_FAILURE_RATE, choice.engine.condition.failureRate));
  return open
    .map((engine) => estimateCandidate(ticket, engine, now))
    .filter((choice) => choice.firstTokenMs <= targetMs && mayEnd(choice))
    .filter((choice) => !delaysStreams(ticket, choice))
    .reduce<EngineChoice | undefined>(
      (best, choice) => (best === undefined || weighed(choice) < weighed(best) ? choice : best),
      undefined,
    );
};
