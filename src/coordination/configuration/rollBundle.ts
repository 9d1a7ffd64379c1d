import * as Effect from 'effect/Effect';
import type { PlatformApi, StoredObject } from '../../protocol/platform/PlatformApi.ts';
import { ROLL_OBJECT_NAME, type Roll } from '../../state/Roll.ts';
import { approvalObjectName, bundleObjectName } from '../../state/ProposedBundle.ts';
import { loadBundle } from '../../state/documents/index.ts';
import { moveKey } from '../../state/moveKey.ts';
import { writeConditionally } from '../store/index.ts';
import { createRefusal, type BundleOutcome, type OperatorAction } from './BundleOutcome.ts';
import { readProposal, type ProposalReadResult } from './readProposal.ts';
import { decodeStoredRoll } from './decodeStoredRoll.ts';

type FoundProposal = Extract<ProposalReadResult, { _tag: 'found' }>;

interface CurrentRoll {
  readonly roll: Roll | undefined;
  readonly resourceVersion: string | undefined;
}

const describeRoll = ({ rollNumber, bundle, operator }: Roll): string =>
  `${operator} rolled ${bundleObjectName(bundle.name, bundle.version)} as roll ${rollNumber}`;

const readCurrentRoll = (platform: PlatformApi): Effect.Effect<CurrentRoll | BundleOutcome> =>
  Effect.map(platform.read('rolls', ROLL_OBJECT_NAME), (read) => {
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

const checkApproval = (
  platform: PlatformApi,
  digest: string,
): Effect.Effect<BundleOutcome | undefined> =>
  Effect.map(platform.read('approvals', approvalObjectName(digest)), (read) => {
    if (read._tag === 'unavailable') return read;
    return read._tag === 'absent' ? createRefusal(`digest ${digest} isn't approved`) : undefined;
  });

const validateProposal = (
  { proposal, source }: FoundProposal,
  { roll }: CurrentRoll,
  wallNow: number,
): BundleOutcome | undefined => {
  const { version } = proposal.bundle;
  if (roll !== undefined && version <= roll.bundle.version) {
    return {
      _tag: 'lost',
      operator: roll.operator,
      detail: `${describeRoll(roll)}; version ${version} isn't above that of the bundle in force: propose under a higher version`,
    };
  }
  // Deadlines of moves in progress aren't checked, because the time until them has already been used in
  // part.
  const activeMoveKeys = new Set((roll?.bundle.moves ?? []).map(moveKey));
  const loaded = loadBundle(JSON.stringify(source), wallNow, activeMoveKeys);
  if (loaded._tag === 'valid') return undefined;
  return { _tag: 'refused', detail: 'the bundle is no longer valid', problems: loaded.problems };
};

const describeWriteConflict = (object: StoredObject | undefined): BundleOutcome => {
  const winner = decodeStoredRoll(object?.value);
  if (winner === undefined) return createRefusal('the stored roll is unreadable');
  return {
    _tag: 'lost',
    operator: winner.operator,
    detail: `${describeRoll(winner)} at the same time`,
  };
};

const writeRoll = (
  platform: PlatformApi,
  { proposal, source }: FoundProposal,
  currentRoll: CurrentRoll,
  action: OperatorAction,
): Effect.Effect<BundleOutcome> => {
  const { digest } = proposal;
  const rollNumber = (currentRoll.roll?.rollNumber ?? 0) + 1;
  const write = {
    kind: 'rolls',
    name: ROLL_OBJECT_NAME,
    value: { rollNumber, digest, bundle: source, ...action },
    expected: currentRoll.resourceVersion,
  } as const;
  const bundle = bundleObjectName(proposal.bundle.name, proposal.bundle.version);
  return Effect.map(writeConditionally(platform, write), (writeResult): BundleOutcome => {
    switch (writeResult._tag) {
      case 'written':
        return { _tag: 'done', bundle, digest, rollNumber, repeated: false };
      case 'lost':
        return describeWriteConflict(writeResult.object);
      case 'rejected':
        return createRefusal(writeResult.detail);
      case 'unsettled':
        return { _tag: 'unknown', detail: writeResult.detail };
      default:
        return writeResult satisfies never;
    }
  });
};

/**
 * Puts an approved bundle in force. If operators roll concurrently, one of them succeeds and the others
 * receive the outcome `lost` with that operator.
 *
 * @param platform - the object service
 * @param name - object name of the proposed bundle
 * @param action - the operator who rolls, and the nonce of the write
 * @param wallNow - present Unix time in ms
 * @returns `done` with the roll number if the bundle is in force, otherwise the reason for the failure
 *   or `unknown`
 */
export const rollBundle = (
  platform: PlatformApi,
  name: string,
  action: OperatorAction,
  wallNow: number,
): Effect.Effect<BundleOutcome> =>
  Effect.gen(function* roll() {
    const read = yield* readProposal(platform, name);
    if (read._tag === 'unavailable') return read;
    if (read._tag === 'absent') return createRefusal(`bundle ${name} has not been proposed`);
    if (read._tag === 'unreadable') return createRefusal(read.detail);
    const approvalFailure = yield* checkApproval(platform, read.proposal.digest);
    if (approvalFailure !== undefined) return approvalFailure;
    const currentRoll = yield* readCurrentRoll(platform);
    if ('_tag' in currentRoll) return currentRoll;
    if (currentRoll.roll?.digest === read.proposal.digest) {
      const { digest, rollNumber } = currentRoll.roll;
      return { _tag: 'done', bundle: name, digest, rollNumber, repeated: true };
    }
    const rejection = validateProposal(read, currentRoll, wallNow);
    return rejection ?? (yield* writeRoll(platform, read, currentRoll, action));
  });
