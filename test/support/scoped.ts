import type { TestContext } from 'node:test';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';

/** Runs an effect whose scope closes with the test. */
export const runScoped = async <A>(
  context: TestContext,
  effect: Effect.Effect<A, never, Scope.Scope>,
): Promise<A> => {
  const scope = Scope.makeUnsafe();
  context.after(() => Effect.runPromise(Scope.close(scope, Exit.void)));
  return Effect.runPromise(Scope.provide(effect, scope));
};

/** Waits until a condition holds; the test runner's own timeout bounds it. */
export const until = async (condition: () => boolean): Promise<void> => {
  while (!condition()) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};
