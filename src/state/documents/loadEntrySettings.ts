import { EntrySettings } from '../EntrySettings.ts';
import { loadDocument } from './loadDocument.ts';
import type { ValueProblem, LoadResult } from './DocumentProblem.ts';

const validateSettings = ({
  timing,
  callerAddress,
  peerAddress,
}: EntrySettings): readonly ValueProblem[] => {
  const problems: ValueProblem[] = [];
  if (callerAddress === peerAddress && !callerAddress.endsWith(':0')) {
    problems.push({
      path: ['peerAddress'],
      message: 'is the same as callerAddress',
      suggestion: 'use different ports for callers and peers',
    });
  }
  if (timing.probeTimeoutMs >= timing.probeIntervalMs) {
    problems.push({
      path: ['timing', 'probeTimeoutMs'],
      message: `must be below probeIntervalMs, which is ${timing.probeIntervalMs}`,
      suggestion: `for example ${Math.floor(timing.probeIntervalMs / 2)}`,
    });
  }
  if (timing.incarnationLeaseMs < 2 * timing.probeIntervalMs) {
    problems.push({
      path: ['timing', 'incarnationLeaseMs'],
      message: 'is shorter than two probe intervals, so a single lost probe would end the process',
      suggestion: `for example ${6 * timing.probeIntervalMs}`,
    });
  }
  return problems;
};

/**
 * Parses and validates the settings of an entry process.
 *
 * @param text - JSON with comments
 * @returns the settings with defaults filled in, or all problems
 */
export const loadEntrySettings = (text: string): LoadResult<EntrySettings> =>
  loadDocument(EntrySettings, text, validateSettings);
