import * as Schema from 'effect/Schema';

const Milliseconds = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1e12 }));
const Rate = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1e9 }));

/** What an endpoint states of itself in an answer. */
export const EndpointStatement = Schema.Union([
  /** Requests a second that it accepts from all gateways together. */
  Schema.TaggedStruct('limit', { requestsPerSecond: Rate }),
  /** It falls over if it has to reject more requests a second than this, from all gateways together. */
  Schema.TaggedStruct('brittle', { rejectionsPerSecond: Rate }),
  /** It wants no requests for so long from the gateway whose request it rejected. */
  Schema.TaggedStruct('rest', { forMs: Milliseconds }),
  /** It will stop soon: it completes its requests and wants no new ones. */
  Schema.TaggedStruct('leaving', {}),
  /** It states something that can't be read, under this header name. */
  Schema.TaggedStruct('unreadable', { name: Schema.String }),
]);
export type EndpointStatement = typeof EndpointStatement.Type;
