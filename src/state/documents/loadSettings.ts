import { EntrySettings } from '../EntrySettings.ts';
import { loadDocument } from './loadDocument.ts';
import type { ValueProblem, Loaded } from './Problem.ts';

const reviewSettings = ({
  timing,
  callerAddress,
  peerAddress,
}: EntrySettings): readonly ValueProblem[] => {
  const findings: ValueProblem[] = [];
  if (callerAddress === peerAddress && !callerAddress.endsWith(':0')) {
    findings.push({
      path: ['peerAddress'],
      message: 'is the same as callerAddress',
      suggestion: 'give callers and peers ports of their own',
    });
  }
  if (timing.probeTimeoutMs >= timing.probeIntervalMs) {
    findings.push({
      path: ['timing', 'probeTimeoutMs'],
      message: `must be below probeIntervalMs, which is ${timing.probeIntervalMs}`,
      suggestion: `for example ${Math.floor(timing.probeIntervalMs / 2)}`,
    });
  }
  if (timing.incarnationLeaseMs < 2 * timing.probeIntervalMs) {
    findings.push({
      path: ['timing', 'incarnationLeaseMs'],
      message: 'is shorter than two probe intervals, so one lost probe would end the process',
      suggestion: `for example ${6 * timing.probeIntervalMs}`,
    });
  }
  return findings;
};

/**
 * Reads the settings of an entry process.
 *
 * @param text - JSON with comments
 * @returns the settings with defaults filled in, or all problems
 */
export const loadSettings = (text: string): Loaded<EntrySettings> =>
  loadDocument(EntrySettings, text, reviewSettings);
