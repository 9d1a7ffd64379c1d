import { describe, it } from 'node:test';
import { expect } from 'earl';
import { EndpointExclusions } from './EndpointExclusions.ts';

describe('EndpointExclusions', () => {
  it('end with the rest, of which the longest counts', () => {
    const exclusions = new EndpointExclusions();
    exclusions.recordRest('i-1/1', 3_000, 1_000);
    exclusions.recordRest('i-1/1', 500, 1_100);
    expect(exclusions.find('i-1/1', 3_999)).toEqual({ _tag: 'resting', until: 4_000 });
    expect(exclusions.find('i-1/1', 4_000)).toEqual(undefined);
    expect(exclusions.count(4_000)).toEqual(0);
  });

  it('hold for one start of an endpoint', () => {
    const exclusions = new EndpointExclusions();
    expect(exclusions.recordLeaving('i-1/1', 1_000)).toEqual(true);
    expect(exclusions.recordLeaving('i-1/1', 1_010)).toEqual(false);
    exclusions.recordRest('i-1/1', 100, 1_020);
    expect(exclusions.find('i-1/1', 60_000)).toEqual({ _tag: 'leaving' });
    expect(exclusions.find('i-1/2', 60_000)).toEqual(undefined);
  });

  // Guards against a belief without an end, which would shut a sound endpoint out.
  it('end at last, however long the rest, and where the endpoint stays', () => {
    const exclusions = new EndpointExclusions();
    exclusions.recordRest('i-1/1', 1e12, 0);
    exclusions.recordLeaving('i-2/1', 0);
    expect(exclusions.find('i-1/1', 600_000)).toEqual(undefined);
    expect(exclusions.find('i-2/1', 120_000)).toEqual(undefined);
  });
});
