import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { Platform, StoredObject } from '../../protocol/platform/Platform.ts';
import type { Bundle } from '../../state/Bundle.ts';
import { ProposedBundle, bundleObjectName } from '../../state/ProposedBundle.ts';
import { digestJson } from '../../state/canonicalJson.ts';
import { settleWrite } from '../store/index.ts';
import type { BundleOutcome, OperatorAction } from './BundleOutcome.ts';

const decodeProposal = Schema.decodeUnknownOption(ProposedBundle);

const judgeLoss = (
  name: string,
  digest: string,
  object: StoredObject | undefined,
): BundleOutcome => {
  const first = Option.getOrUndefined(decodeProposal(object?.value));
  if (first?.digest === digest) return { _tag: 'done', bundle: name, digest, repeated: true };
  const operator = first?.operator ?? 'another operator';
  const detail = `${operator} already proposed ${name} with digest ${first?.digest ?? 'unknown'}; raise the version`;
  return { _tag: 'lost', operator, detail };
};

/**
 * Proposes a bundle: writes it under its name and version, once and for good.
 *
 * @param platform - the object service
 * @param bundle - the bundle, already checked
 * @param source - the bundle as written, over which its digest is taken
 * @param step - who proposes
 * @returns the digest to approve, or who proposed another bundle under this version
 */
export const proposeBundle = (
  platform: Platform,
  bundle: Pick<Bundle, 'name' | 'version'>,
  source: unknown,
  step: OperatorAction,
): Effect.Effect<BundleOutcome> => {
  const name = bundleObjectName(bundle.name, bundle.version);
  const digest = digestJson(source);
  const write = {
    kind: 'bundles',
    name,
    value: { digest, bundle: source, ...step },
    expected: undefined,
  } as const;
  return Effect.map(settleWrite(platform, write), (settled): BundleOutcome => {
    switch (settled._tag) {
      case 'written':
        return { _tag: 'done', bundle: name, digest, repeated: false };
      case 'lost':
        return judgeLoss(name, digest, settled.object);
      case 'rejected':
        return { _tag: 'refused', detail: settled.detail, problems: [] };
      case 'unsettled':
        return { _tag: 'unknown', detail: settled.detail };
      default:
        return settled satisfies never;
    }
  });
};
