import * as Effect from 'effect/Effect';
import type { PlatformApi } from '../../protocol/platform/PlatformApi.ts';
import { approvalObjectName } from '../../state/ProposedBundle.ts';
import { writeConditionally } from '../store/index.ts';
import { createRefusal, type BundleOutcome, type OperatorAction } from './BundleOutcome.ts';
import { readProposal } from './readProposal.ts';

/**
 * Approves a proposed bundle. The approver passes the digest that was reviewed, so that a different
 * bundle can't be approved by mistake.
 *
 * @param platform - the object service
 * @param name - object name of the proposed bundle
 * @param digest - digest of the bundle that the approver reviewed
 * @param action - the operator who approves, and the nonce of the write
 * @returns `done` if the approval is in the store, otherwise the reason why not
 */
export const approveBundle = (
  platform: PlatformApi,
  name: string,
  digest: string,
  action: OperatorAction,
): Effect.Effect<BundleOutcome> =>
  Effect.gen(function* approve() {
    const read = yield* readProposal(platform, name);
    if (read._tag === 'unavailable') return read;
    if (read._tag === 'absent') return createRefusal(`bundle ${name} has not been proposed`);
    if (read._tag === 'unreadable') return createRefusal(read.detail);
    if (read.proposal.digest !== digest) {
      return createRefusal(`bundle ${name} has digest ${read.proposal.digest}, not ${digest}`);
    }
    const writeResult = yield* writeConditionally(platform, {
      kind: 'approvals',
      name: approvalObjectName(digest),
      value: { digest, ...action },
      expected: undefined,
    });
    switch (writeResult._tag) {
      case 'written':
        return { _tag: 'done', bundle: name, digest, repeated: false };
      // Approvals are named by digest, so the approval that is already stored is for the same bundle.
      case 'lost':
        return { _tag: 'done', bundle: name, digest, repeated: true };
      case 'rejected':
        return createRefusal(writeResult.detail);
      case 'unsettled':
        return { _tag: 'unknown', detail: writeResult.detail };
      default:
        return writeResult satisfies never;
    }
  });
