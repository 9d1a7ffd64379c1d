/** Lost connections to old endpoints within this time of one to a new endpoint show a fault that both share. */
const SHARED_WINDOW_MS = 1_000;
/** Part of the old endpoints that must have lost connections, and their least number. */
const SHARED_PART = 0.1;
const SHARED_ENDPOINTS = 2;
/** An endpoint counts among the old ones for so long after its last response. */
const SEEN_MS = 10_000;
/**
 * Connections that one old endpoint, or all new ones, lose within this time count once, since a crash ends many
 * requests at once, and commonly several endpoints crash together.
 */
const BURST_MS = 150;
/** Stands for all endpoints of the new version. */
const NEW_ENDPOINTS = '';

/**
 * Distinguishes lost connections that come from a fault of endpoints, such as a crash of many at once, from those that the
 * new version causes.
 */
export class SharedFaults {
  readonly #oldSeenAt = new Map<string, number>();

  readonly #oldLostAt = new Map<string, number>();

  readonly #countedAt = new Map<string, number>();

  /** Records a response, or the end of a request, at an old endpoint. */
  recordOld(endpoint: string, isLost: boolean, at: number): void {
    this.#oldSeenAt.set(endpoint, at);
    if (isLost) this.#oldLostAt.set(endpoint, at);
  }

  /**
   * Decides whether a lost connection counts as a failure of the version. Call it when old losses of the same
   * moments are recorded.
   *
   * @param endpoint - the endpoint
   * @param at - when the connection was lost, in ms
   * @param isNew - whether the endpoint has the new version
   */
  countsAsFailure(endpoint: string, at: number, isNew: boolean): boolean {
    const source = isNew ? NEW_ENDPOINTS : endpoint;
    const countedAt = this.#countedAt.get(source) ?? Number.NEGATIVE_INFINITY;
    if (at - countedAt < BURST_MS) return false;
    if (isNew && this.#isShared(at)) return false;
    this.#countedAt.set(source, at);
    return true;
  }

  #isShared(at: number): boolean {
    let seen = 0;
    this.#oldSeenAt.forEach((seenAt) => {
      if (at - seenAt < SEEN_MS) seen += 1;
    });
    let lost = 0;
    this.#oldLostAt.forEach((lostAt) => {
      if (Math.abs(at - lostAt) < SHARED_WINDOW_MS) lost += 1;
    });
    return lost >= Math.max(SHARED_ENDPOINTS, SHARED_PART * seen);
  }
}
