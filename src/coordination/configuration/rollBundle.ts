import * as Effect from 'effect/Effect';
import type { Platform, StoredObject } from '../../protocol/platform/Platform.ts';
import { ROLL_NAME, type Roll } from '../../state/Roll.ts';
import { approvalObjectName, bundleObjectName } from '../../state/ProposedBundle.ts';
import { loadBundle } from '../../state/documents/index.ts';
import { moveKey } from '../../state/moveKey.ts';
import { settleWrite } from '../store/index.ts';
import { createRefusal, type BundleOutcome, type OperatorAction } from './BundleOutcome.ts';
import { readProposal, type ProposalReadResult } from './readProposal.ts';
import { decodeStoredRoll } from './decodeStoredRoll.ts';

type FoundProposal = Extract<ProposalReadResult, { _tag: 'found' }>;

interface Standing {
  readonly roll: Roll | undefined;
  readonly resourceVersion: string | undefined;
}

const describe = ({ rollNumber, bundle, operator }: Roll): string =>
  `${operator} rolled ${bundleObjectName(bundle.name, bundle.version)} as roll ${rollNumber}`;

const readStanding = (platform: Platform): Effect.Effect<Standing | BundleOutcome> =>
  Effect.map(platform.read('rolls', ROLL_NAME), (read) => {
    switch (read._tag) {
      case 'unavailable':
        return read;
      case 'absent':
        return { roll: undefined, resourceVersion: undefined };
      case 'found': {
        const roll = decodeStoredRoll(read.object.value);
        if (roll === undefined) return createRefusal('the stored roll is unreadable');
        return { roll, resourceVersion: read.object.resourceVersion };
      }
      default:
        return read satisfies never;
    }
  });

const readApproval = (
  platform: Platform,
  digest: string,
): Effect.Effect<BundleOutcome | undefined> =>
  Effect.map(platform.read('approvals', approvalObjectName(digest)), (read) => {
    if (read._tag === 'unavailable') return read;
    return read._tag === 'absent' ? createRefusal(`digest ${digest} isn't approved`) : undefined;
  });

const judgeProposal = (
  { proposal, source }: FoundProposal,
  { roll }: Standing,
  wallNow: number,
): BundleOutcome | undefined => {
  const { version } = proposal.bundle;
  if (roll !== undefined && version <= roll.bundle.version) {
    return {
      _tag: 'lost',
      operator: roll.operator,
      detail: `${describe(roll)}; version ${version} isn't above it: propose under a higher one`,
    };
  }
  const underWay = new Set((roll?.bundle.moves ?? []).map(moveKey));
  const loaded = loadBundle(JSON.stringify(source), wallNow, underWay);
  if (loaded._tag === 'valid') return undefined;
  return { _tag: 'refused', detail: 'the bundle can no longer work', problems: loaded.problems };
};

const judgeLoss = (object: StoredObject | undefined): BundleOutcome => {
  const winner = decodeStoredRoll(object?.value);
  if (winner === undefined) return createRefusal('the stored roll is unreadable');
  return {
    _tag: 'lost',
    operator: winner.operator,
    detail: `${describe(winner)} at the same time`,
  };
};

const writeRoll = (
  platform: Platform,
  { proposal, source }: FoundProposal,
  standing: Standing,
  step: OperatorAction,
): Effect.Effect<BundleOutcome> => {
  const { digest } = proposal;
  const rollNumber = (standing.roll?.rollNumber ?? 0) + 1;
  const write = {
    kind: 'rolls',
    name: ROLL_NAME,
    value: { rollNumber, digest, bundle: source, ...step },
    expected: standing.resourceVersion,
  } as const;
  const bundle = bundleObjectName(proposal.bundle.name, proposal.bundle.version);
  return Effect.map(settleWrite(platform, write), (settled): BundleOutcome => {
    switch (settled._tag) {
      case 'written':
        return { _tag: 'done', bundle, digest, rollNumber, repeated: false };
      case 'lost':
        return judgeLoss(settled.object);
      case 'rejected':
        return createRefusal(settled.detail);
      case 'unsettled':
        return { _tag: 'unknown', detail: settled.detail };
      default:
        return settled satisfies never;
    }
  });
};

/**
 * Puts an approved bundle in force. Of operators who race, one wins and the others learn who did.
 *
 * @param platform - the object service
 * @param name - object name of the proposed bundle
 * @param step - who rolls
 * @param wallNow - present Unix time in ms
 * @returns the roll number, or why the bundle isn't in force
 */
export const rollBundle = (
  platform: Platform,
  name: string,
  step: OperatorAction,
  wallNow: number,
): Effect.Effect<BundleOutcome> =>
  Effect.gen(function* roll() {
    const read = yield* readProposal(platform, name);
    if (read._tag === 'unavailable') return read;
    if (read._tag === 'absent') return createRefusal(`no bundle ${name} was proposed`);
    if (read._tag === 'unreadable') return createRefusal(read.detail);
    const unapproved = yield* readApproval(platform, read.proposal.digest);
    if (unapproved !== undefined) return unapproved;
    const standing = yield* readStanding(platform);
    if ('_tag' in standing) return standing;
    if (standing.roll?.digest === read.proposal.digest) {
      const { digest, rollNumber } = standing.roll;
      return { _tag: 'done', bundle: name, digest, rollNumber, repeated: true };
    }
    const objection = judgeProposal(read, standing, wallNow);
    return objection ?? (yield* writeRoll(platform, read, standing, step));
  });
