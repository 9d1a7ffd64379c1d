import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import type { Owner } from './Owner.ts';

const EXIT_INTERRUPTED = 130;

const onInterrupt = (): void => {
  // eslint-disable-next-line n/no-process-exit
  process.exit(EXIT_INTERRUPTED);
};

/** Runs something with an owner, which releases all that was started once it ends. */
export const withOwner = async <T>(run: (owner: Owner) => Promise<T>): Promise<T> => {
  // So that what listens to the end of this process is told.
  process.once('SIGINT', onInterrupt);
  process.once('SIGTERM', onInterrupt);
  const scope = Scope.makeUnsafe();
  const owner: Owner = {
    after: (release) =>
      // Something that is started while the scope closes is released at once, which may take time.
      Effect.runFork(
        Scope.addFinalizer(
          scope,
          Effect.promise(async () => release()),
        ),
      ),
  };
  return run(owner).finally(async () => {
    await Effect.runPromise(Scope.close(scope, Exit.void));
    process.off('SIGINT', onInterrupt);
    process.off('SIGTERM', onInterrupt);
  });
};
