import * as Effect from 'effect/Effect';
import * as Option from 'effect/Option';
import * as Schema from 'effect/Schema';
import type { PlatformApi } from '../../protocol/platform/PlatformApi.ts';
import type { Move } from '../../state/Move.ts';
import { MoveStatus } from '../../state/MoveStatus.ts';
import { ROLL_OBJECT_NAME } from '../../state/Roll.ts';
import { moveKey } from '../../state/moveKey.ts';
import { decodeStoredRoll } from '../configuration/decodeStoredRoll.ts';

/** One move as shown to operators. */
export interface MoveRow {
  /** Key of the move: its name with a short digest of its terms. */
  readonly move: string;
  /** Terms of the move; undefined where the bundle in force does not have it. */
  readonly terms: Move | undefined;
  /** State of the move; `withdrawn` where a later bundle dropped it before it ended. */
  readonly state: MoveStatus['state']['_tag'] | 'withdrawn';
  /** Reason for which it was reverted, or its progress. */
  readonly detail: string;
}

/** All moves, or the reason why the object service could not list them. */
export type MoveListing =
  | { readonly _tag: 'listed'; readonly rows: readonly MoveRow[] }
  | { readonly _tag: 'unavailable'; readonly detail: string };

const decodeStatus = Schema.decodeUnknownOption(MoveStatus);

const detailOf = (status: MoveStatus | undefined): string => {
  const state = status?.state;
  if (state === undefined) return 'no entry drives it yet';
  if (state._tag === 'reverted') return state.reason;
  if (state._tag !== 'staged') return '';
  return `stage ${state.stage + 1} with share ${state.share}`;
};

const isFinal = ({ state }: MoveStatus): boolean =>
  state._tag === 'done' || state._tag === 'reverted';

/**
 * Lists the moves of the bundle in force and of earlier bundles with their states.
 *
 * @param platform - client of the object service
 * @returns the moves of the bundle in force, then those of earlier bundles
 */
export const listMoves = (platform: PlatformApi): Effect.Effect<MoveListing> =>
  Effect.gen(function* list() {
    const current = yield* platform.read('rolls', ROLL_OBJECT_NAME);
    const listed = yield* platform.list('movestatuses');
    if (current._tag === 'unavailable') return current;
    if (listed._tag === 'unavailable') return listed;
    const roll = current._tag === 'found' ? decodeStoredRoll(current.object.value) : undefined;
    const statuses = listed.objects.flatMap(({ value }) => Option.toArray(decodeStatus(value)));
    const inForce = (roll?.bundle.moves ?? []).map((terms): MoveRow => {
      const move = moveKey(terms);
      const status = statuses.find((each) => each.move === move);
      return { move, terms, state: status?.state._tag ?? 'pending', detail: detailOf(status) };
    });
    const earlier = statuses
      .filter(({ move }) => inForce.every((row) => row.move !== move))
      .map((status): MoveRow => {
        const state = isFinal(status) ? status.state._tag : 'withdrawn';
        return { move: status.move, terms: undefined, state, detail: detailOf(status) };
      });
    return { _tag: 'listed', rows: [...inForce, ...earlier] };
  });
