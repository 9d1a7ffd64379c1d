import type { Bundle } from '../../state/Bundle.ts';
import type { Move } from '../../state/Move.ts';
import type { MoveState } from '../../state/MoveStatus.ts';
import type { Pool } from '../../state/Pool.ts';
import type { Routing } from '../../state/Routing.ts';

/** What is known of one move. */
export interface MoveSnapshot {
  readonly move: Move;
  readonly key: string;
  readonly state: MoveState;
  /** Whether any verdict stands against the new version. */
  readonly condemned: boolean;
}

const stay = ({ from, to, pool }: Move, condemned: boolean): Routing => ({
  pool,
  stable: from,
  condemned: condemned ? [to] : [],
});

const routeStaged = (
  { move, key }: MoveSnapshot,
  { stage, share }: Extract<MoveState, { _tag: 'staged' }>,
): Routing => ({
  pool: move.pool,
  stable: move.from,
  candidate: {
    move: key,
    version: move.to,
    share,
    // A raise past the first stage was made on evidence, so the bound on unproven work ends there.
    maximumInFlight: stage === 0 ? move.maximumUnproven : 0,
  },
  condemned: [],
});

const routeMove = (knowledge: MoveSnapshot, wallNow: number): Routing => {
  const { move, state, condemned } = knowledge;
  // The stored final state is the one truth: it also overrides what an entry did while cut off.
  if (state._tag === 'done') return { pool: move.pool, stable: move.to, condemned: [] };
  if (state._tag === 'reverted') return stay(move, true);
  if (condemned) return stay(move, true);
  if (wallNow >= Date.parse(move.completeBy)) return stay(move, true);
  if (state._tag === 'staged') return routeStaged(knowledge, state);
  return stay(move, false);
};

const routePool = (
  pool: Pool,
  moves: readonly MoveSnapshot[],
  wallNow: number,
): readonly [string, Routing] => {
  const knowledge = moves.find(({ move }) => move.pool === pool.name);
  const routing =
    knowledge === undefined
      ? { pool: pool.name, stable: pool.version, condemned: [] }
      : routeMove(knowledge, wallNow);
  return [pool.name, routing];
};

/**
 * Decides which versions of each pool may get new work.
 *
 * @param bundle - the bundle in force
 * @param moves - what is known of its moves
 * @param wallNow - present Unix time in ms; from a move's deadline on the old version serves
 *   unless the move is known to be done
 * @returns the routing of each pool by pool name
 */
export const deriveRoutings = (
  bundle: Bundle,
  moves: readonly MoveSnapshot[],
  wallNow: number,
): ReadonlyMap<string, Routing> =>
  new Map(bundle.pools.map((pool) => routePool(pool, moves, wallNow)));
