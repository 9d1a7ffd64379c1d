import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { RolloutStep } from '../../../protocol/peer/RolloutMessages.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { RolloutGate } from './RolloutGate.ts';

const record = (version: string, bornAt = 0): EndpointRecord => ({
  id: `i-${version}`,
  service: 'plain',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version,
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt,
});
const OLD = record('v1');
const NEW = record('v2');
const TRIAL: RolloutStep = {
  _tag: 'trial',
  service: 'plain',
  target: 'v2',
  share: 0.5,
  routeShares: [{ route: 'rare', share: 0.9 }],
  orderAgeMs: 0,
};

/** A gate that has seen the old version for a while, and then both. */
const makeGate = (): RolloutGate => {
  const gate = new RolloutGate(5_000);
  gate.observe([OLD], 0);
  gate.observe([OLD, NEW], 10_000);
  return gate;
};

const versions = (gate: RolloutGate, draw: number, now: number, route = 'read'): string[] =>
  gate
    .select({ service: 'plain', route, draw }, [OLD, NEW], (endpoint) => endpoint, now)
    .map(({ version }) => version);

describe('RolloutGate', () => {
  // Requests may not reach a second version before the driver has read whether there is an order.
  it('sends nothing to a new version before the first step', () => {
    expect(versions(makeGate(), 0, 10_001)).toEqual(['v1']);
  });

  it('uses every version where no driver of this build exists', () => {
    expect(versions(makeGate(), 0, 15_100)).toEqual(['v1', 'v2']);
  });

  it('sends the share of the route to the target, and of others the common one', () => {
    const gate = makeGate();
    gate.apply(TRIAL, 10_100);
    const shown = [0.4, 0.6].map((draw) => versions(gate, draw, 10_200));
    expect(shown).toEqual([['v2'], ['v1']]);
    expect(versions(gate, 0.6, 10_200, 'rare')).toEqual(['v2']);
  });

  // A gateway that is cut off from the driver, or was paused, must not go on with an old permission.
  it('sends nothing to the target once the step has expired, also by an earlier grant', () => {
    const gate = makeGate();
    gate.apply(TRIAL, 10_100);
    expect(gate.maySend(NEW, 10_200)).toEqual(true);
    expect(versions(gate, 0, 12_000)).toEqual(['v1']);
    expect(gate.maySend(NEW, 12_000)).toEqual(false);
  });

  it('uses every version without an order, also while the scheduler changes', () => {
    const gate = makeGate();
    gate.apply({ _tag: 'unordered', service: 'plain' }, 10_100);
    expect(versions(gate, 0, 20_000)).toEqual(['v1', 'v2']);
  });

  it('sends everything to the target in the cutover, and to the old one where the target has no endpoint', () => {
    const gate = makeGate();
    gate.apply({ _tag: 'cutover', service: 'plain', target: 'v2', orderAgeMs: 0 }, 10_100);
    expect(versions(gate, 0.99, 10_200)).toEqual(['v2']);
    const request = { service: 'plain', route: 'read', draw: 0 };
    expect(gate.select(request, [OLD], (endpoint) => endpoint, 10_200)).toEqual([OLD]);
  });

  it('sends nothing to a version that was rolled back, until its endpoints are gone', () => {
    const gate = makeGate();
    gate.apply({ _tag: 'rolledBack', service: 'plain', target: 'v2' }, 10_100);
    gate.apply(TRIAL, 10_200);
    expect([versions(gate, 0, 10_300), gate.maySend(NEW, 10_300)]).toEqual([['v1'], false]);
    gate.observe([OLD], 11_000);
    expect(gate.condemnedVersions('plain')).toEqual([]);
  });

  // The old endpoints stop at `completed`, so that nothing would be left.
  it('follows `completed` although the version was judged bad', () => {
    const gate = makeGate();
    gate.apply({ _tag: 'rolledBack', service: 'plain', target: 'v2' }, 10_100);
    gate.apply({ _tag: 'completed', service: 'plain', target: 'v2' }, 10_200);
    expect(versions(gate, 0, 20_000)).toEqual(['v2']);
  });

  it('takes the version that started first for the old one where it learns of both at once', () => {
    const gate = new RolloutGate(5_000);
    gate.observe([record('v2', 2_000)], 0);
    gate.observe([record('v2', 2_000), record('v1', 1_000)], 10);
    expect(gate.baseVersion('plain')).toEqual('v1');
  });

  it('changes nothing where the deployment has no roll-outs', () => {
    const gate = new RolloutGate(undefined);
    gate.observe([OLD, NEW], 0);
    expect(versions(gate, 0, 1)).toEqual(['v1', 'v2']);
  });
});
