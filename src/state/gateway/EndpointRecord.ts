import * as Schema from 'effect/Schema';

/** One running endpoint as the platform lists it. */
export const EndpointRecord = Schema.Struct({
  id: Schema.String,
  service: Schema.String,
  /** `IP:PORT` */
  address: Schema.String,
  failureDomain: Schema.String,
  /** Version of the endpoint's software. */
  version: Schema.String,
  slots: Schema.Finite,
  state: Schema.Literals(['ready', 'draining']),
  /** How much longer the endpoint stays slow after its start. */
  coldMs: Schema.Finite,
  /** Start of this incarnation in Unix ms; changes where an id starts again. */
  bornAt: Schema.Finite,
});
export type EndpointRecord = typeof EndpointRecord.Type;
