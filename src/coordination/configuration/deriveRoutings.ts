import type { Bundle } from '../../state/Bundle.ts';
import type { Move } from '../../state/Move.ts';
import type { MoveState } from '../../state/MoveStatus.ts';
import type { Pool } from '../../state/Pool.ts';
import type { PoolRouting } from '../../state/PoolRouting.ts';

/** Last known state of one move. */
export interface MoveSnapshot {
  readonly move: Move;
  readonly key: string;
  readonly state: MoveState;
  /** Whether there is any verdict against the new version. */
  readonly condemned: boolean;
}

const routeToOldVersion = ({ from, to, pool }: Move, condemned: boolean): PoolRouting => ({
  pool,
  stable: from,
  condemned: condemned ? [to] : [],
});

const routeStaged = (
  { move, key }: MoveSnapshot,
  { stage, share }: Extract<MoveState, { _tag: 'staged' }>,
): PoolRouting => ({
  pool: move.pool,
  stable: move.from,
  candidate: {
    move: key,
    version: move.to,
    share,
    // A move passes its first stage only after enough evidence that the new version works, so the limit
    // for a version without evidence applies to that stage alone. 0 means no limit.
    maximumInFlight: stage === 0 ? move.maximumUnproven : 0,
  },
  condemned: [],
});

const routeMove = (snapshot: MoveSnapshot, wallNow: number): PoolRouting => {
  const { move, state, condemned } = snapshot;
  // The stored final state is authoritative: it also overrides what an entry decided while it was
  // partitioned from the store.
  if (state._tag === 'done') return { pool: move.pool, stable: move.to, condemned: [] };
  if (state._tag === 'reverted') return routeToOldVersion(move, true);
  if (condemned) return routeToOldVersion(move, true);
  if (wallNow >= Date.parse(move.completeBy)) return routeToOldVersion(move, true);
  if (state._tag === 'staged') return routeStaged(snapshot, state);
  return routeToOldVersion(move, false);
};

const routePool = (
  pool: Pool,
  moves: readonly MoveSnapshot[],
  wallNow: number,
): readonly [string, PoolRouting] => {
  const snapshot = moves.find(({ move }) => move.pool === pool.name);
  const routing =
    snapshot === undefined
      ? { pool: pool.name, stable: pool.version, condemned: [] }
      : routeMove(snapshot, wallNow);
  return [pool.name, routing];
};

/**
 * Derives which versions of each pool may receive new requests.
 *
 * @param bundle - the bundle in force
 * @param moves - last known state of its moves
 * @param wallNow - present Unix time in ms; from a move's deadline on the old version serves
 *   unless the move is known to be done
 * @returns routings by pool name
 */
export const deriveRoutings = (
  bundle: Bundle,
  moves: readonly MoveSnapshot[],
  wallNow: number,
): ReadonlyMap<string, PoolRouting> =>
  new Map(bundle.pools.map((pool) => routePool(pool, moves, wallNow)));
