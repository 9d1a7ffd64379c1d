import * as Effect from 'effect/Effect';
import {
  AnswerMemory,
  CallerMemoryLimit,
  deriveResourceLimits,
} from '../../coordination/gateway/index.ts';
import type { GatewaySettings } from '../../state/gateway/index.ts';
import type { FaultLog } from './FaultLog.ts';
import { makeConnectionPools } from './makeConnectionPools.ts';

/**
 * Makes what a process has a limited amount of: connections and memory. Connections close with the scope.
 *
 * @param settings - what the process may use
 * @param now - returns the present time in ms, monotonic
 * @param faults - logs errors that were thrown while an answer was handled
 */
export const makeResources = (
  { resources }: Pick<GatewaySettings, 'resources'>,
  now: () => number,
  faults: FaultLog,
) => {
  const limits = deriveResourceLimits(resources);
  return Effect.map(makeConnectionPools(now, faults, limits), (pools) => ({
    ...pools,
    answerMemory: new AnswerMemory(limits.answerBytes),
    /** For callers and for peers that forward their requests. */
    inbound: {
      now,
      memory: new CallerMemoryLimit(limits.callerBytes),
      maximumConnections: limits.callerConnections,
    },
  }));
};
