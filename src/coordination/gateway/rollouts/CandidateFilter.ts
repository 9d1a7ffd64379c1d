/** A request for which candidates are selected. */
export interface FilteredRequest {
  readonly service: string;
  readonly route: string;
  /** A number in [0, 1) that is drawn once for a sending. */
  readonly draw: number;
}

/** What a candidate is known by. */
export interface VersionedEndpoint {
  readonly service: string;
  readonly version: string;
}

/** Selects the endpoints that a request may be sent to, by their versions. */
export interface CandidateFilter {
  /**
   * Returns the candidates that a request may use.
   *
   * @param request - the request
   * @param candidates - the endpoints that it could use otherwise
   * @param recordOf - returns what a candidate is known by
   * @param now - present time in ms, monotonic
   */
  select<T>(
    request: FilteredRequest,
    candidates: readonly T[],
    recordOf: (candidate: T) => VersionedEndpoint,
    now: number,
  ): readonly T[];

  /**
   * Divides endpoints into groups of which a request may need any, so that the health of one group doesn't hide
   * another one.
   *
   * @param service - the service of the endpoints
   * @param endpoints - the endpoints
   * @param recordOf - returns what an endpoint is known by
   */
  partition<T>(
    service: string,
    endpoints: readonly T[],
    recordOf: (endpoint: T) => VersionedEndpoint,
  ): readonly (readonly T[])[];
}

/** Lets every request use every endpoint. */
export const EVERY_CANDIDATE: CandidateFilter = {
  select: (_request, candidates) => candidates,
  partition: (_service, endpoints) => [endpoints],
};
