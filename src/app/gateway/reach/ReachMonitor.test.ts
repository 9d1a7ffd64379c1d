import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { GatewayMetrics } from '../GatewayMetrics.ts';
import { ReachMonitor, type ReachVerdict } from './ReachMonitor.ts';

const RECORD: EndpointRecord = {
  id: 'i-1',
  service: 'plain',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt: 0,
};

describe('ReachMonitor', () => {
  // Guards against checks without end once the timers of the process are gone.
  it('repeats a check of a process that stood still once, and then gives its verdict', () => {
    const state = { now: 0, connections: 0 };
    const monitor = new ReachMonitor({
      pool: {
        connect: (_address, _fresh, onOutcome) => {
          state.connections += 1;
          state.now += 200;
          onOutcome({ _tag: 'refused', detail: 'connect timed out' });
          return () => {};
        },
        release: () => {},
      },
      listEndpoints: () => [RECORD],
      findSilentEndpoint: () => undefined,
      onChanged: () => {},
      metrics: new GatewayMetrics(),
      logger: pino({ level: 'silent' }),
      now: () => state.now,
    });
    const verdicts: ReachVerdict[] = [];
    monitor.check('i-1', (verdict) => verdicts.push(verdict));
    expect([verdicts, state.connections]).toEqual([['isolated'], 2]);
  });
});
