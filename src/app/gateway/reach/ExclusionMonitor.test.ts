import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { ExclusionMonitor } from './ExclusionMonitor.ts';

const RECORD: EndpointRecord = {
  id: 'i-1',
  service: 'plain',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
};

/** The monitors of two gateways, whose messages arrive at once. */
const makePair = () => {
  const sent: PeerMessage[] = [];
  const monitors: ExclusionMonitor[] = [];
  [0, 1].forEach((index) => {
    const broadcast = (message: PeerMessage): void => {
      sent.push(message);
      monitors[1 - index]?.handle(message);
    };
    monitors.push(
      new ExclusionMonitor({
        group: () => ({ broadcast }),
        logger: pino({ level: 'silent' }),
        now: () => 0,
      }),
    );
  });
  return { sent, monitors };
};

describe('ExclusionMonitor', () => {
  // DRAIN: a gateway learned only from the store that an endpoint leaves, though a peer had heard it before.
  it('tells all gateways once that an endpoint leaves', () => {
    const { sent, monitors } = makePair();
    monitors.forEach((monitor) => monitor.observe(RECORD, [{ _tag: 'leaving' }]));
    expect(monitors.map((monitor) => monitor.find(RECORD)?._tag)).toEqual(['leaving', 'leaving']);
    expect(sent.length).toEqual(1);
    expect(monitors[1]?.find({ ...RECORD, bornAt: 2 })).toEqual(undefined);
  });

  it('keeps a rest that an endpoint asked one gateway for from the others', () => {
    const { sent, monitors } = makePair();
    monitors[0]?.observe(RECORD, [{ _tag: 'rest', forMs: 1_000 }]);
    expect(monitors.map((monitor) => monitor.find(RECORD)?._tag)).toEqual(['resting', undefined]);
    expect(sent).toEqual([]);
  });
});
