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

/**
 * Names one start of an endpoint, as an endpoint may start again under its id.
 *
 * @param record - the endpoint's record
 * @returns a name that differs between two starts
 */
export const endpointStartOf = ({ id, bornAt }: EndpointRecord): string => `${id}/${bornAt}`;
