/** Weight of the newest request in the moving average. */
const SMOOTHING = 0.05;

/** Mean engine time of the granted requests of each service. */
export class MeanEngineTimes {
  readonly #means = new Map<string, number>();

  /**
   * Updates the mean of a service.
   *
   * @param service - the service
   * @param engineTimeMs - engine time that a granted request is expected to use, in ms
   */
  record(service: string, engineTimeMs: number): void {
    const mean = this.#means.get(service) ?? engineTimeMs;
    this.#means.set(service, mean + SMOOTHING * (engineTimeMs - mean));
  }

  /** Whether a request is expected to use more engine time than the mean of its service. */
  isLong(service: string, engineTimeMs: number): boolean {
    return engineTimeMs > (this.#means.get(service) ?? 0);
  }
}
