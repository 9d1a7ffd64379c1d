import type { ProcessResources } from '../../../state/gateway/index.ts';

/** What a process may use at once. */
export interface ResourceLimits {
  /** Memory for the requests of callers and the answers that they don't read, in bytes. */
  readonly callerBytes: number;
  /** Memory for the unfinished answers of endpoints and peers, in bytes. */
  readonly answerBytes: number;
  /** Open connections of callers. */
  readonly callerConnections: number;
  /** Open connections to endpoints. */
  readonly endpointConnections: number;
}

/** What a process has if the settings don't say: as much as small instances have. */
const DEFAULT_RESOURCES: ProcessResources = { memoryBytes: 256 * 1024 * 1024, descriptors: 4_096 };
/** An idle process takes 65 to 80 MB, and a crowd half as much again besides its contents: a small instance has 160 MB. */
const CALLER_MEMORY_SHARE = 0.1;
/** On a small instance this is a little more than the largest answer. */
const ANSWER_MEMORY_SHARE = 0.06;
const MAXIMUM_ANSWER_BYTES = 32 * 1024 * 1024;
const CALLER_CONNECTION_SHARE = 0.5;
/** The rest of the descriptors is for peers, the store, the status servers and files. */
const ENDPOINT_CONNECTION_SHARE = 0.25;

/**
 * Derives what a process may use at once from what its instance has.
 *
 * @param resources - memory and descriptors of the process; undefined if the settings don't say
 */
export const deriveResourceLimits = ({
  memoryBytes,
  descriptors,
}: ProcessResources = DEFAULT_RESOURCES): ResourceLimits => ({
  callerBytes: CALLER_MEMORY_SHARE * memoryBytes,
  answerBytes: Math.min(MAXIMUM_ANSWER_BYTES, ANSWER_MEMORY_SHARE * memoryBytes),
  callerConnections: Math.floor(CALLER_CONNECTION_SHARE * descriptors),
  endpointConnections: Math.floor(ENDPOINT_CONNECTION_SHARE * descriptors),
});
