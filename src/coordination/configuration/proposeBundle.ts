import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import type { Bundle } from '../../state/Bundle.ts';
import { ProposedBundle, bundleObjectName } from '../../state/ProposedBundle.ts';
import { digestJson } from '../../state/canonicalJson.ts';
import { writeConditionally } from '../store/index.ts';
import type { BundleOutcome, OperatorAction } from './BundleOutcome.ts';

const decodeProposal = Schema.decodeUnknownOption(ProposedBundle);

const resolveWriteConflict = (
  name: string,
  digest: string,
  object: StoredObject | undefined,
): BundleOutcome => {
  const stored = Option.getOrUndefined(decodeProposal(object?.value));
  if (stored?.digest === digest) return { _tag: 'done', bundle: name, digest, repeated: true };
  const operator = stored?.operator ?? 'another operator';
  const detail = `${operator} already proposed ${name} with digest ${stored?.digest ?? 'unknown'}; propose under a higher version`;
  return { _tag: 'lost', operator, detail };
};

/**
 * Proposes a bundle by writing it under its name and version. A stored proposal is never replaced.
 *
 * @param platform - the object service
 * @param bundle - the validated bundle
 * @param source - the bundle as written, without defaults; its digest is computed over this
 * @param action - the operator who proposes, and the nonce of the write
 * @returns `done` with the digest to approve, `lost` with the operator who proposed another bundle
 *   under this version, or otherwise the reason why the proposal isn't known to be stored
 */
export const proposeBundle = (
  platform: PlatformApi,
  bundle: Pick<Bundle, 'name' | 'version'>,
  source: unknown,
  action: OperatorAction,
): Effect.Effect<BundleOutcome> => {
  const name = bundleObjectName(bundle.name, bundle.version);
  const digest = digestJson(source);
  const write = {
    kind: 'bundles',
    name,
    value: { digest, bundle: source, ...action },
    expected: undefined,
  } as const;
  return Effect.map(writeConditionally(platform, write), (writeResult): BundleOutcome => {
    switch (writeResult._tag) {
      case 'written':
        return { _tag: 'done', bundle: name, digest, repeated: false };
      case 'lost':
        return resolveWriteConflict(name, digest, writeResult.object);
      case 'rejected':
        return { _tag: 'refused', detail: writeResult.detail, problems: [] };
      case 'unsettled':
        return { _tag: 'unknown', detail: writeResult.detail };
      default:
        return writeResult satisfies never;
    }
  });
};
