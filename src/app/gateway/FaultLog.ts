import type { Logger } from 'pino';

/** Logs errors that end the request or message in whose handling they were thrown, and nothing else. */
export class FaultLog {
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  /**
   * Makes a function that logs an error.
   *
   * @param source - what was handled
   */
  reporter(source: string): (error: unknown) => void {
    return (error) => this.#logger.error({ err: error, source }, 'fault contained');
  }

  /**
   * Runs the handling of one message; an error of it is logged.
   *
   * @param source - kind of the message
   * @param run - handles it
   */
  contain(source: string, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.reporter(source)(error);
    }
  }
}
