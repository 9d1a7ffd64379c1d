import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { PlatformApi } from '../../protocol/platform/PlatformApi.ts';
import { ProposedBundle } from '../../state/ProposedBundle.ts';
import { digestJson } from '../../state/canonicalJson.ts';

const decodeProposal = Schema.decodeUnknownOption(ProposedBundle);
const decodeRawProposal = Schema.decodeUnknownOption(Schema.Struct({ bundle: Schema.Unknown }));

/** Result of reading a proposed bundle. */
export type ProposalReadResult =
  | {
      readonly _tag: 'found';
      readonly proposal: ProposedBundle;
      /** The bundle as written, without the defaults that decoding adds. */
      readonly source: unknown;
    }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'unreadable'; readonly detail: string }
  | { readonly _tag: 'unavailable'; readonly detail: string };

/**
 * Reads a proposed bundle and verifies its digest.
 *
 * @param platform - the object service
 * @param name - name of the object, as `bundleObjectName` builds it
 * @returns the proposal, or the reason why it can't be used
 */
export const readProposal = (
  platform: PlatformApi,
  name: string,
): Effect.Effect<ProposalReadResult> =>
  Effect.map(platform.read('bundles', name), (read): ProposalReadResult => {
    if (read._tag !== 'found') return read;
    const proposal = decodeProposal(read.object.value);
    const rawProposal = decodeRawProposal(read.object.value);
    if (Option.isNone(proposal) || Option.isNone(rawProposal)) {
      return { _tag: 'unreadable', detail: `object ${name} is not a proposed bundle` };
    }
    const source = rawProposal.value.bundle;
    return digestJson(source) === proposal.value.digest
      ? { _tag: 'found', proposal: proposal.value, source }
      : { _tag: 'unreadable', detail: `bundle ${name} doesn't match its digest` };
  });
