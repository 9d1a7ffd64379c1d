import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { moveKey } from '../../state/moveKey.ts';
import type { Action } from '../Action.ts';
import type { Release } from './Evidence.ts';
import { MoveRun, type MoveOptions } from './MoveRun.ts';

const ROUND_MS = 50;
/** Pause between looks for a configuration with moves. */
const IDLE_ROUND_MS = 250;

/** All moves of the configuration in force, each driven by the entry that schedules its pool. */
export class MoveDrivers {
  private readonly options: MoveOptions;

  private readonly runs = new Map<string, MoveRun>();

  private readonly busy = new Set<string>();

  private rollNumber = 0;

  constructor(options: MoveOptions) {
    this.options = options;
  }

  /**
   * Adds what a request showed, where its pool is moving.
   *
   * @param from - incarnation that dispatched it
   * @param release - its release
   * @param now - present time in ms
   * @returns the verdict's decision and pushes, if it condemned a version
   */
  record(from: string, release: Release, now: number): readonly Action[] {
    this.configure(now);
    return [...this.runs.values()]
      .filter((run) => run.pool() === release.pool)
      .flatMap((run) => run.record(from, release, now));
  }

  /**
   * Drives moves until the scope closes. A call that hangs holds up only its own move.
   *
   * @returns an effect that comes back at once
   */
  run(): Effect.Effect<void, never, Scope.Scope> {
    const round = Effect.gen({ self: this }, function* advanceAll() {
      this.configure(this.options.now());
      const idle = [...this.runs.entries()].filter(([key]) => !this.busy.has(key));
      yield* Effect.forEach(idle, ([key, run]) => Effect.forkScoped(this.advance(key, run)), {
        discard: true,
      });
      yield* Effect.sleep(this.runs.size > 0 ? ROUND_MS : IDLE_ROUND_MS);
    });
    return Effect.asVoid(Effect.forkScoped(Effect.forever(round)));
  }

  private advance(key: string, run: MoveRun): Effect.Effect<void> {
    this.busy.add(key);
    return Effect.ensuring(
      run.advance(),
      Effect.sync(() => this.busy.delete(key)),
    );
  }

  private configure(now: number): void {
    const configuration = this.options.board.current();
    if (configuration === undefined || configuration.rollNumber === this.rollNumber) return;
    this.rollNumber = configuration.rollNumber;
    const moves = new Map(configuration.bundle.moves.map((move) => [moveKey(move), move]));
    [...this.runs.keys()].filter((key) => !moves.has(key)).forEach((key) => this.runs.delete(key));
    moves.forEach((move, key) => {
      const run = this.runs.get(key) ?? new MoveRun(this.options, key, move);
      this.runs.set(key, run);
      run.configure(configuration, move, now);
    });
  }
}
