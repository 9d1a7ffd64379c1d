import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import { moveKey } from '../../state/moveKey.ts';
import type { Action } from '../Action.ts';
import type { Release } from './VersionEvidence.ts';
import { MoveDriver, type MoveDriverOptions } from './MoveDriver.ts';

/** Pause between rounds while the configuration has moves. */
const ROUND_INTERVAL_MS = 50;
/** Pause between rounds while the configuration has no move. */
const IDLE_ROUND_INTERVAL_MS = 250;

/** Drivers of all moves of the configuration in force. The entry that schedules a pool drives its move. */
export class MoveDrivers {
  private readonly options: MoveDriverOptions;

  private readonly drivers = new Map<string, MoveDriver>();

  /** Keys of the moves whose step is being carried out. */
  private readonly advancing = new Set<string>();

  private rollNumber = 0;

  /** @param options - services, clocks and callbacks for all drivers */
  constructor(options: MoveDriverOptions) {
    this.options = options;
  }

  /**
   * Adds the evidence of an ended request to the moves of its pool.
   *
   * @param from - incarnation that dispatched the request
   * @param release - its release message
   * @param now - present monotonic time, ms
   * @returns the decision and the pushes to peers if a version is condemned
   */
  record(from: string, release: Release, now: number): readonly Action[] {
    this.configure(now);
    return [...this.drivers.values()]
      .filter((driver) => driver.pool() === release.pool)
      .flatMap((driver) => driver.record(from, release, now));
  }

  /**
   * Drives the moves until the scope closes. A call that hangs delays only its own move.
   *
   * @returns an effect that forks the rounds and ends at once
   */
  run(): Effect.Effect<void, never, Scope.Scope> {
    const round = Effect.gen({ self: this }, function* advanceAll() {
      this.configure(this.options.now());
      const idle = [...this.drivers.entries()].filter(([key]) => !this.advancing.has(key));
      yield* Effect.forEach(idle, ([key, driver]) => Effect.forkScoped(this.advance(key, driver)), {
        discard: true,
      });
      yield* Effect.sleep(this.drivers.size > 0 ? ROUND_INTERVAL_MS : IDLE_ROUND_INTERVAL_MS);
    });
    return Effect.asVoid(Effect.forkScoped(Effect.forever(round)));
  }

  private advance(key: string, driver: MoveDriver): Effect.Effect<void> {
    this.advancing.add(key);
    return Effect.ensuring(
      driver.advance(),
      Effect.sync(() => this.advancing.delete(key)),
    );
  }

  private configure(now: number): void {
    const configuration = this.options.replica.current();
    if (configuration === undefined || configuration.rollNumber === this.rollNumber) return;
    this.rollNumber = configuration.rollNumber;
    const moves = new Map(configuration.bundle.moves.map((move) => [moveKey(move), move]));
    [...this.drivers.keys()]
      .filter((key) => !moves.has(key))
      .forEach((key) => this.drivers.delete(key));
    moves.forEach((move, key) => {
      const driver = this.drivers.get(key) ?? new MoveDriver(this.options, key, move);
      this.drivers.set(key, driver);
      driver.configure(configuration, move, now);
    });
  }
}
