import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import { BundleApproval, ProposedBundle, approvalObjectName } from '../../state/ProposedBundle.ts';
import { ROLL_OBJECT_NAME } from '../../state/Roll.ts';
import { decodeStoredRoll } from './decodeStoredRoll.ts';

/** A proposed bundle with its approval and its roll. */
export interface BundleSummary {
  readonly bundle: string;
  readonly digest: string;
  readonly proposedBy: string;
  readonly approvedBy: string | undefined;
  /** Set on the bundle in force. */
  readonly rollNumber: number | undefined;
  readonly rolledBy: string | undefined;
}

/** All proposed bundles, or the reason why they can't be listed. */
export type BundleListing =
  | { readonly _tag: 'listed'; readonly rows: readonly BundleSummary[] }
  | { readonly _tag: 'unavailable'; readonly detail: string };

const decodeProposal = Schema.decodeUnknownOption(ProposedBundle);
const decodeApproval = Schema.decodeUnknownOption(BundleApproval);

const findApprover = (approvals: readonly StoredObject[], digest: string): string | undefined => {
  const object = approvals.find(({ name }) => name === approvalObjectName(digest));
  return Option.getOrUndefined(decodeApproval(object?.value))?.operator;
};

/**
 * Lists the proposed bundles with their approvals and marks the one in force. Stored objects that are
 * not valid proposals are left out.
 *
 * @param platform - the object service
 * @returns one row for each bundle
 */
export const listBundles = (platform: PlatformApi): Effect.Effect<BundleListing> =>
  Effect.gen(function* list() {
    const bundles = yield* platform.list('bundles');
    const approvals = yield* platform.list('approvals');
    const current = yield* platform.read('rolls', ROLL_OBJECT_NAME);
    if (bundles._tag === 'unavailable') return bundles;
    if (approvals._tag === 'unavailable') return approvals;
    if (current._tag === 'unavailable') return current;
    const roll = current._tag === 'found' ? decodeStoredRoll(current.object.value) : undefined;
    const rows = bundles.objects.flatMap(({ name, value }): readonly BundleSummary[] => {
      const proposal = Option.getOrUndefined(decodeProposal(value));
      if (proposal === undefined) return [];
      const { digest, operator } = proposal;
      const matchingRoll = roll?.digest === digest ? roll : undefined;
      return [
        {
          bundle: name,
          digest,
          proposedBy: operator,
          approvedBy: findApprover(approvals.objects, digest),
          rollNumber: matchingRoll?.rollNumber,
          rolledBy: matchingRoll?.operator,
        },
      ];
    });
    return { _tag: 'listed', rows };
  });
