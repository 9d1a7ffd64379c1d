import type { EndpointStatement } from './EndpointStatement.ts';
import type {
  EndpointRecord,
  RolloutOrder,
  RolloutState,
  RouteTable,
  Service,
} from '../../state/gateway/index.ts';
import type { StoreObject } from './ObjectStore.ts';

/** Values decoded from the header lines of a caller's request. */
export interface DecodedRequestHeaders {
  readonly id: string | undefined;
  /** Time that the caller is willing to wait. */
  readonly deadlineMs: number | undefined;
  /** API key of the client account. */
  readonly accountKey: string | undefined;
  readonly promptTokens: number;
  readonly maximumOutputTokens: number;
  /** The caller's estimate of the output length in tokens; often inaccurate. */
  readonly expectedOutputTokens: number | undefined;
  /** Whether the request states its prompt length in tokens. */
  readonly hasTokenCount: boolean;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: string | undefined;
  /**
   * Ids of the parts of the prompt that other requests may share, in order. The last part belongs to
   * the request or its session and is left out.
   */
  readonly sharedPromptParts: readonly string[];
}

/** Values that the gateway adds to a request before it forwards it to an endpoint. */
export interface AddedRequestHeaders {
  readonly remainingMs: number;
  readonly endpointId: string;
  readonly account: string | undefined;
  readonly lastEventId: string | undefined;
}

/** Values decoded from the status and header lines of a response, which show its origin. */
export interface DecodedResponseHeaders {
  /** Id of the request that the response belongs to. */
  readonly id: string | undefined;
  /** Whether the response carries an endpoint's signature. */
  readonly isSigned: boolean;
  /** Whether the endpoint states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether the body has a content encoding, although the gateway accepts none. */
  readonly isEncoded: boolean;
  /** What the endpoint states of itself. */
  readonly statements: readonly EndpointStatement[];
  /** Time after which the request may be sent again; undefined if the answer states none. */
  readonly retryAfterMs: number | undefined;
}

/** Header names and values alternating, in the order and spelling received. */
export type RawHeaders = readonly string[];

/** Translates between the platform's header names and formats and the gateway's types. It contains no policy. */
export interface WireAdapter {
  /** Decodes the header lines of a caller's request. */
  readonly readRequestHeaders: (headers: RawHeaders) => DecodedRequestHeaders;
  /** Removes hop-by-hop headers from a caller's header lines. */
  readonly filterRequestHeaders: (headers: RawHeaders) => string[];
  /** Removes hop-by-hop headers and those that only the gateway may set from a caller's header lines, then adds the gateway's. */
  readonly buildForwardHeaders: (headers: RawHeaders, fields: AddedRequestHeaders) => string[];
  /** Decodes the status and header lines of a response. */
  readonly readResponseHeaders: (status: number, headers: RawHeaders) => DecodedResponseHeaders;
  /** Removes hop-by-hop headers from the header lines of a response. */
  readonly filterResponseHeaders: (headers: RawHeaders) => string[];
  /** Builds the name and value of the header that suggests a delay before a retry. */
  readonly buildRetryAfterHeader: (retryAfterMs: number) => readonly [string, string];
  /** Returns the path of a GET request that an endpoint of a service answers, with any status, without running anything. */
  readonly findCheckPath: (service: Service) => string;
  /** Decodes a configuration object; undefined if it is invalid. */
  readonly readRouteTable: (spec: unknown) => RouteTable | undefined;
  /** Decodes an endpoint object; undefined if it is invalid. */
  readonly readEndpoint: (name: string, spec: unknown) => EndpointRecord | undefined;
  /** Returns why an object can't be read, or what of it is left out: a line for each fault; none if it is sound. */
  readonly findFaults: (kind: 'configuration' | 'endpoints', spec: unknown) => readonly string[];
  /** Decodes a roll-out object; undefined if it is invalid. */
  readonly readRollout: (object: StoreObject) => RolloutOrder | undefined;
  /** Builds the status of a roll-out object. */
  readonly buildRolloutStatus: (state: RolloutState, target: string) => unknown;
}
