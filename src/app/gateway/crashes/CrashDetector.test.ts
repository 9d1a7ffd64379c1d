import { describe, it } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import { expect } from 'earl';
import pino from 'pino';
import { CrashDetector, type CrashFinding } from './CrashDetector.ts';
import { GatewayMetrics } from '../GatewayMetrics.ts';
import type { ReachVerdict } from '../reach/ReachMonitor.ts';

const RUN = {
  id: 'request/1',
  service: 'plain',
  endpointId: 'i-1',
  endpoint: 'i-1/0',
  address: '127.0.0.1:1',
  parts: [],
  fingerprint: 'request:x',
};
/** Longer than the time to the second check of a gateway without reach. */
const BOTH_CHECKS_MS = 1_200;

interface Situation {
  readonly accepts: boolean;
  readonly verdict: ReachVerdict;
  /** Whether another gateway reaches endpoints. */
  readonly othersReach: boolean;
}

const observe = async ({ accepts, verdict, othersReach }: Situation) => {
  let crashes = 0;
  const findings: CrashFinding[] = [];
  const detector = new CrashDetector({
    checkEndpoint: (_, onChecked) => onChecked(accepts),
    checkReach: (_, onVerdict) => onVerdict(verdict),
    isIsolatedAlone: () => verdict === 'isolated' && othersReach,
    isExpectedToRun: () => true,
    onCrash: () => {
      crashes += 1;
    },
    metrics: new GatewayMetrics(),
    logger: pino({ level: 'silent' }),
    now: () => performance.now(),
  });
  detector.observeBrokenRun(RUN, (finding) => findings.push(finding));
  await wait(BOTH_CHECKS_MS);
  return { crashes, findings };
};

describe('CrashDetector', () => {
  const cases: readonly (Situation & { readonly name: string; readonly expected: object })[] = [
    {
      name: 'reports an endpoint that refuses connections while others accept them',
      accepts: false,
      verdict: 'reaching',
      othersReach: true,
      expected: { crashes: 1, findings: ['crashed'] },
    },
    {
      name: 'reports none that accepts connections',
      accepts: true,
      verdict: 'reaching',
      othersReach: true,
      expected: { crashes: 0, findings: ['accepts'] },
    },
    {
      // Guards against sound requests in quarantine because their gateway lost its links (RECOVER).
      name: 'reports none while only this gateway reaches no endpoint',
      accepts: false,
      verdict: 'isolated',
      othersReach: true,
      expected: { crashes: 0, findings: ['isolated'] },
    },
    {
      name: 'reports one if no gateway reaches any, since the endpoints are down then',
      accepts: false,
      verdict: 'isolated',
      othersReach: false,
      expected: { crashes: 1, findings: ['isolated'] },
    },
  ];
  cases.forEach(({ name, expected, ...situation }) =>
    it(name, async () => {
      expect(await observe(situation)).toLooseEqual(expected);
    }),
  );
});
