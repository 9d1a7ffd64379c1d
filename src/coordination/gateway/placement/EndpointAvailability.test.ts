import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EndpointAvailability } from './EndpointAvailability.ts';

describe('the availability of an endpoint', () => {
  // Guards against a gateway that is cut off and takes its endpoints from all others (RECOVER).
  it('suffers for one gateway only, if that one alone gets no connection', () => {
    const availability = new EndpointAvailability();
    expect(availability.recordOutcome('unreachable', 1_000, 'cut')).toEqual(400);
    expect(availability.isReachableFrom('cut', 1_100)).toEqual(false);
    expect(availability.isReachableFrom('sound', 1_100)).toEqual(true);
    expect(availability.isReachableFrom('cut', 1_400)).toEqual(true);
  });

  it('suffers for all once a second gateway gets no connection either', () => {
    const availability = new EndpointAvailability();
    availability.recordOutcome('unreachable', 1_000, 'one');
    availability.recordOutcome('unreachable', 1_010, 'other');
    expect(availability.isReachableFrom('third', 1_100)).toEqual(false);
    expect(availability.isReachableFrom('third', 1_400)).toEqual(true);
  });

  it('is proved by an answer to any gateway', () => {
    const availability = new EndpointAvailability();
    availability.recordOutcome('unreachable', 1_000, 'one');
    availability.recordOutcome('unreachable', 1_010, 'other');
    availability.recordOutcome('served', 1_020, 'third');
    expect(availability.isReachableFrom('third', 1_100)).toEqual(true);
    expect(availability.isReachableFrom('one', 1_100)).toEqual(false);
  });

  it('backs off for longer each time, until an answer', () => {
    const availability = new EndpointAvailability();
    const backoffs = [0, 1_000, 3_000, 7_000, 11_000].map((at) =>
      availability.recordOutcome('unreachable', at, 'one'),
    );
    expect(backoffs).toEqual([400, 800, 1_600, 3_000, 3_000]);
    availability.recordOutcome('served', 15_000, 'other');
    expect(availability.recordOutcome('unreachable', 16_000, 'one')).toEqual(400);
  });
});
