import * as Schema from 'effect/Schema';

const Rate = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1e9 }));

/** What an endpoint states of itself in an answer. */
export const EndpointStatement = Schema.Union([
  /** Requests a second that it accepts from all gateways together. */
  Schema.TaggedStruct('limit', { requestsPerSecond: Rate }),
  /** It falls over if it has to reject more requests a second than this, from all gateways together. */
  Schema.TaggedStruct('brittle', { rejectionsPerSecond: Rate }),
  /** It states something that can't be read, under this header name. */
  Schema.TaggedStruct('unreadable', { name: Schema.String }),
]);
export type EndpointStatement = typeof EndpointStatement.Type;
