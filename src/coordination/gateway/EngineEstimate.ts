import { LogMean } from '../scheduling/LogMean.ts';

/** Stand in until something is learned; what is learned replaces them within a few requests. */
const DEFAULT_READ_MS_PER_TOKEN = 0.02;
const DEFAULT_DECODE_MS_PER_TOKEN = 6;
/** Time from sending to the first token that doesn't depend on the prompt. */
const FIRST_TOKEN_BASE_MS = 20;
/** Shorter prompts and answers say more about the network than about the engine. */
const LEAST_TOKENS_TO_LEARN = { read: 500, decode: 15 } as const;

/**
 * Tells how long the first token takes.
 *
 * @param tokensToRead - prompt tokens that are read before it
 * @param readMsPerToken - time to read one, in ms
 * @returns time from sending to the first token, in ms
 */
export const firstTokenAfter = (tokensToRead: number, readMsPerToken: number): number =>
  FIRST_TOKEN_BASE_MS + tokensToRead * readMsPerToken;

/** How fast one engine reads prompts and makes tokens, learned from the requests it has run. */
export class EngineEstimate {
  readonly #read = new LogMean();

  readonly #decode = new LogMean();

  #samples = 0;

  /** Time to read a token of a prompt, in ms. */
  readMsPerToken = DEFAULT_READ_MS_PER_TOKEN;

  /** Time to make a token, in ms. */
  decodeMsPerToken = DEFAULT_DECODE_MS_PER_TOKEN;

  /**
   * Learns from a first token.
   *
   * @param tokensToRead - prompt tokens that were read before it, of requests before included
   * @param firstTokenMs - time from sending the request, in ms
   */
  learnRead(tokensToRead: number, firstTokenMs: number): void {
    if (tokensToRead < LEAST_TOKENS_TO_LEARN.read) return;
    const perToken = Math.max(1, firstTokenMs - FIRST_TOKEN_BASE_MS) / tokensToRead;
    this.#read.learn(Math.log(perToken / DEFAULT_READ_MS_PER_TOKEN), 1);
    this.#samples += 1;
    this.#update();
  }

  /**
   * Learns from a finished answer.
   *
   * @param outputTokens - tokens after the first
   * @param decodeMs - time from the first token to the last, in ms
   */
  learnDecode(outputTokens: number, decodeMs: number): void {
    if (outputTokens < LEAST_TOKENS_TO_LEARN.decode || decodeMs <= 0) return;
    this.#decode.learn(Math.log(decodeMs / outputTokens / DEFAULT_DECODE_MS_PER_TOKEN), 1);
    this.#update();
  }

  /** Begins with what another process has learned, unless something was learned here. */
  seed(readMsPerToken: number, decodeMsPerToken: number): void {
    if (this.#samples > 0) return;
    this.#read.learn(Math.log(readMsPerToken / DEFAULT_READ_MS_PER_TOKEN), 1);
    this.#decode.learn(Math.log(decodeMsPerToken / DEFAULT_DECODE_MS_PER_TOKEN), 1);
    this.#update();
  }

  /** Requests that were learned from. */
  get samples(): number {
    return this.#samples;
  }

  /** Time from sending to the first token, where so many tokens are to be read before it. */
  firstTokenMs(tokensToRead: number): number {
    return firstTokenAfter(tokensToRead, this.readMsPerToken);
  }

  #update(): void {
    this.readMsPerToken = DEFAULT_READ_MS_PER_TOKEN * Math.exp(this.#read.value);
    this.decodeMsPerToken = DEFAULT_DECODE_MS_PER_TOKEN * Math.exp(this.#decode.value);
  }
}
