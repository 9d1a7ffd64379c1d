import type { EndpointRecord, RouteTable } from '../../state/gateway/index.ts';

/** What a caller's header lines say, decoded. */
export interface DecodedRequestHeaders {
  readonly id: string | undefined;
  /** Time that the caller waits. */
  readonly deadlineMs: number | undefined;
  readonly accountKey: string | undefined;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** The caller's own estimate of the output's length; often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Whether the request states its size in tokens. */
  readonly hasTokenCount: boolean;
  /** Id of the last event that the caller has, where it resumes a stream. */
  readonly lastEventId: string | undefined;
}

/** What the gateway adds to a request on its way to an endpoint. */
export interface AddedRequestHeaders {
  readonly remainingMs: number;
  readonly endpointId: string;
  readonly account: string | undefined;
  readonly lastEventId: string | undefined;
}

/** What an answer's head says about where it comes from. */
export interface DecodedResponseHeaders {
  /** Id of the request that it answers. */
  readonly id: string | undefined;
  /** Whether it carries an endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether its body is encoded, which no endpoint was asked for. */
  readonly isEncoded: boolean;
}

/** Header lines in the order and spelling of the wire: name, value, name, value. */
export type RawHeaders = readonly string[];

/** Names and formats of the platform, in one place. Nothing in an adapter decides. */
export interface WireAdapter {
  readonly readRequestHeaders: (headers: RawHeaders) => DecodedRequestHeaders;
  /** Takes what concerns one connection or is the gateway's to set out of a caller's header lines, and adds the gateway's. */
  readonly buildForwardHeaders: (headers: RawHeaders, fields: AddedRequestHeaders) => string[];
  readonly readResponseHeaders: (status: number, headers: RawHeaders) => DecodedResponseHeaders;
  /** Takes what concerns one connection out of an answer's header lines. */
  readonly filterResponseHeaders: (headers: RawHeaders) => string[];
  readonly buildRetryAfterHeader: (retryAfterMs: number) => readonly [string, string];
  readonly readRouteTable: (spec: unknown) => RouteTable | undefined;
  readonly readEndpoint: (name: string, spec: unknown) => EndpointRecord | undefined;
}
