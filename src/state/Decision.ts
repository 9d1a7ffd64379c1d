import type { NotRunReason, RequestOutcome } from './RequestOutcome.ts';

/** An endpoint considered for a request, with its estimated completion time. */
export interface EndpointCandidate {
  readonly endpoint: string;
  readonly estimateMs: number;
}

interface RequestSubject {
  readonly requestId: string;
  readonly account: string;
  readonly tier: number;
  readonly pool: string;
}

/** A scheduling decision or a state change. Each is written to the log as one line. */
export type Decision =
  | (RequestSubject & {
      readonly _tag: 'placed';
      readonly candidates: readonly EndpointCandidate[];
      readonly choice: string;
      readonly version: string;
      readonly estimateMs: number;
      readonly waitedMs: number;
      readonly reason: string;
    })
  | (RequestSubject & {
      readonly _tag: 'refused';
      readonly reason: NotRunReason;
      readonly detail: string;
      readonly retryAfterMs: number;
      /** Waiting requests of lower tiers in the pool at that time, by which a log checker detects priority inversions. */
      readonly lowerTierWaiting: number;
      /** Running requests of lower tiers in the pool at that time. */
      readonly lowerTierRunning: number;
    })
  | (RequestSubject & {
      readonly _tag: 'suspended';
      readonly endpoint: string;
      readonly inFavourOf: string;
    })
  | (RequestSubject & { readonly _tag: 'resumed'; readonly endpoint: string })
  | (RequestSubject & {
      readonly _tag: 'ended';
      readonly outcome: RequestOutcome;
      readonly totalMs: number;
    })
  | {
      readonly _tag: 'schedulerChanged';
      readonly pool: string;
      readonly from: string | undefined;
      readonly to: string;
    }
  | { readonly _tag: 'memberChanged'; readonly member: string; readonly status: string }
  | {
      readonly _tag: 'configurationApplied';
      readonly rollNumber: number;
      readonly digest: string;
      readonly source: string;
    }
  | {
      readonly _tag: 'verdictFound';
      readonly move: string;
      readonly version: string;
      readonly reason: string;
      readonly detail: string;
    }
  | {
      readonly _tag: 'moveChanged';
      readonly move: string;
      readonly state: string;
      readonly detail: string;
    };
