import * as Schema from 'effect/Schema';

/** A running endpoint as the platform lists it. */
export const EndpointRecord = Schema.Struct({
  id: Schema.String,
  service: Schema.String,
  /** `IP:PORT` */
  address: Schema.String,
  failureDomain: Schema.String,
  /** Version of the endpoint's software. */
  version: Schema.String,
  /** Requests that the endpoint processes concurrently. */
  slots: Schema.Finite,
  state: Schema.Literals(['ready', 'draining']),
  /** Remaining time for which the endpoint is slow after its start. */
  coldMs: Schema.Finite,
  /** Start time in Unix ms; differs when an endpoint restarts under the same id. */
  bornAt: Schema.Finite,
});
export type EndpointRecord = typeof EndpointRecord.Type;
