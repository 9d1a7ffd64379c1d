import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { Platform } from '../../protocol/platform/Platform.ts';
import { ProposedBundle } from '../../state/ProposedBundle.ts';
import { digestJson } from '../../state/canonicalJson.ts';

const decodeProposal = Schema.decodeUnknownOption(ProposedBundle);
const decodeWritten = Schema.decodeUnknownOption(Schema.Struct({ bundle: Schema.Unknown }));

/** What reading a proposed bundle gave. */
export type ProposalReadResult =
  | {
      readonly _tag: 'found';
      readonly proposal: ProposedBundle;
      /** The bundle as written, without defaults. */
      readonly source: unknown;
    }
  | { readonly _tag: 'absent' }
  | { readonly _tag: 'unreadable'; readonly detail: string }
  | { readonly _tag: 'unavailable'; readonly detail: string };

/**
 * Reads a proposed bundle and checks that it still is what its digest says.
 *
 * @param platform - the object service
 * @param name - name of the object, as `bundleObjectName` gives it
 * @returns the proposal, or why there is none
 */
export const readProposal = (platform: Platform, name: string): Effect.Effect<ProposalReadResult> =>
  Effect.map(platform.read('bundles', name), (read): ProposalReadResult => {
    if (read._tag !== 'found') return read;
    const proposal = decodeProposal(read.object.value);
    const written = decodeWritten(read.object.value);
    if (Option.isNone(proposal) || Option.isNone(written)) {
      return { _tag: 'unreadable', detail: `object ${name} is not a bundle` };
    }
    const source = written.value.bundle;
    return digestJson(source) === proposal.value.digest
      ? { _tag: 'found', proposal: proposal.value, source }
      : { _tag: 'unreadable', detail: `bundle ${name} doesn't match its digest` };
  });
