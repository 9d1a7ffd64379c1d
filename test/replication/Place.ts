import type { SimulatedGateway } from './SimulatedGateway.ts';
import type { StorePath } from './SimulatedStore.ts';

/** A place of a gateway process, which is replaced when the process is killed. */
export interface Place {
  readonly failureDomain: string;
  process: SimulatedGateway | undefined;
  /** Set while the path between the place and the store is cut. */
  path: StorePath;
  arePeersCut: boolean;
  /** Time by which messages of the place are late. */
  linkDelayMs: number;
  /** Longest time by which answers of the store to the place are late. */
  answerDelayMs: number;
  lastDisturbedAt: number;
  /** Disturbances that go on. */
  disturbances: number;
  /** End of the last time in which the store refused calls of the place; infinite while it does. */
  lastRefusedAt: number;
}

/** Makes a place that nothing disturbs, without a process. */
export const makePlace = (failureDomain: string): Place => ({
  failureDomain,
  process: undefined,
  path: 'open',
  arePeersCut: false,
  linkDelayMs: 0,
  answerDelayMs: 0,
  lastDisturbedAt: Number.NEGATIVE_INFINITY,
  disturbances: 0,
  lastRefusedAt: Number.NEGATIVE_INFINITY,
});
