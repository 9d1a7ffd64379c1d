import * as Effect from 'effect/Effect';
import type { Platform } from '../../protocol/platform/Platform.ts';
import { approvalObjectName } from '../../state/ProposedBundle.ts';
import { settleWrite } from '../store/index.ts';
import { createRefusal, type BundleOutcome, type OperatorAction } from './BundleOutcome.ts';
import { readProposal } from './readProposal.ts';

/**
 * Approves a proposed bundle. The approver names the digest that was reviewed, so that nothing else
 * can be approved by accident.
 *
 * @param platform - the object service
 * @param name - object name of the proposed bundle
 * @param digest - digest that the approver reviewed
 * @param step - who approves
 * @returns whether the approval is in the store
 */
export const approveBundle = (
  platform: Platform,
  name: string,
  digest: string,
  step: OperatorAction,
): Effect.Effect<BundleOutcome> =>
  Effect.gen(function* approve() {
    const read = yield* readProposal(platform, name);
    if (read._tag === 'unavailable') return read;
    if (read._tag === 'absent') return createRefusal(`no bundle ${name} was proposed`);
    if (read._tag === 'unreadable') return createRefusal(read.detail);
    if (read.proposal.digest !== digest) {
      return createRefusal(`bundle ${name} has digest ${read.proposal.digest}, not ${digest}`);
    }
    const settled = yield* settleWrite(platform, {
      kind: 'approvals',
      name: approvalObjectName(digest),
      value: { digest, ...step },
      expected: undefined,
    });
    switch (settled._tag) {
      case 'written':
        return { _tag: 'done', bundle: name, digest, repeated: false };
      // Approvals are named by digest: whoever came first approved the same bundle.
      case 'lost':
        return { _tag: 'done', bundle: name, digest, repeated: true };
      case 'rejected':
        return createRefusal(settled.detail);
      case 'unsettled':
        return { _tag: 'unknown', detail: settled.detail };
      default:
        return settled satisfies never;
    }
  });
