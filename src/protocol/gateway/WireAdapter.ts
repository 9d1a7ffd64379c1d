import type { EndpointRecord, RouteTable } from '../../state/gateway/index.ts';

/** What a caller's header lines say, decoded. */
export interface CallerFields {
  readonly id: string | undefined;
  /** Time that the caller waits. */
  readonly deadlineMs: number | undefined;
  readonly accountKey: string | undefined;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** The caller's own estimate of the output's length; often far off. */
  readonly expectedOutputTokens: number | undefined;
  /** Whether the request states its size in tokens. */
  readonly sized: boolean;
  /** Id of the last event that the caller has, where it resumes a stream. */
  readonly lastEventId: string | undefined;
}

/** What the gateway adds to a request on its way to an endpoint. */
export interface ForwardFields {
  readonly remainingMs: number;
  readonly endpointId: string;
  readonly account: string | undefined;
  readonly lastEventId: string | undefined;
}

/** What an answer's head says about where it comes from. */
export interface AnswerFields {
  /** Id of the request that it answers. */
  readonly id: string | undefined;
  /** Whether it carries an endpoint's signature. */
  readonly signed: boolean;
  /** Whether the endpoint states that it has not run the request. */
  readonly isNotRun: boolean;
  /** Whether its body is encoded, which no endpoint was asked for. */
  readonly encoded: boolean;
}

/** Header lines in the order and spelling of the wire: name, value, name, value. */
export type HeaderLines = readonly string[];

/** Names and formats of the platform, in one place. Nothing in an adapter decides. */
export interface WireAdapter {
  readonly readCaller: (headers: HeaderLines) => CallerFields;
  /** Takes what concerns one connection or is the gateway's to set out of a caller's header lines, and adds the gateway's. */
  readonly forwardHeaders: (headers: HeaderLines, fields: ForwardFields) => string[];
  readonly readAnswer: (status: number, headers: HeaderLines) => AnswerFields;
  /** Takes what concerns one connection out of an answer's header lines. */
  readonly answerHeaders: (headers: HeaderLines) => string[];
  readonly retryAfterHeader: (retryAfterMs: number) => readonly [string, string];
  readonly readRouteTable: (spec: unknown) => RouteTable | undefined;
  readonly readEndpoint: (name: string, spec: unknown) => EndpointRecord | undefined;
}
