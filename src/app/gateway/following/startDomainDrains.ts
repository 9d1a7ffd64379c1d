import { setTimeout as sleep } from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import type * as Scope from 'effect/Scope';
import type { ColdStartCaps, EndpointDirectory } from '../../../coordination/gateway/index.ts';
import {
  DomainDrainSubscription,
  type DomainDrainSubscriptionOptions,
} from './DomainDrainSubscription.ts';
import { recordDrainChanges } from './recordDrainChanges.ts';

/** Collaborators of the drains of failure domains. */
export interface DomainDrainOptions extends Pick<
  DomainDrainSubscriptionOptions,
  'store' | 'drains' | 'group' | 'logger' | 'now'
> {
  readonly directory: EndpointDirectory;
  readonly coldCaps: ColdStartCaps;
  /** Called after drains were read, began or ended. */
  readonly onChanged: () => void;
}

/**
 * Starts to follow the drains of failure domains, until the scope closes.
 *
 * @param options - the collaborators
 * @returns the subscription
 */
export const startDomainDrains = ({
  directory,
  coldCaps,
  onChanged,
  ...options
}: DomainDrainOptions): Effect.Effect<DomainDrainSubscription, never, Scope.Scope> =>
  Effect.acquireRelease(
    Effect.sync(() => {
      const { logger, now } = options;
      const subscription = new DomainDrainSubscription({
        ...options,
        random: Math.random,
        sleep: (ms) => sleep(ms, undefined, { ref: false }),
        onChanged: (changes) => {
          recordDrainChanges(changes, {
            records: directory.listAll(),
            coldCaps,
            logger,
            now: now(),
          });
          onChanged();
        },
      });
      subscription.start();
      return subscription;
    }),
    (subscription) => Effect.sync(() => subscription.stop()),
  );
