import { describe, it } from 'node:test';
import { expect } from 'earl';
import { deriveResourceLimits } from './deriveResourceLimits.ts';

const MB = 1024 * 1024;

describe('deriveResourceLimits', () => {
  it('leaves the larger part of the memory and a quarter of the descriptors to everything else', () => {
    const limits = deriveResourceLimits({ memoryBytes: 160 * MB, descriptors: 400 });
    expect(limits.callerBytes + limits.answerBytes).toBeLessThan(0.2 * 160 * MB);
    expect([limits.callerConnections, limits.endpointConnections]).toEqual([200, 100]);
  });

  it('does not give the answers of endpoints more on a large instance', () => {
    const large = deriveResourceLimits({ memoryBytes: 4_096 * MB, descriptors: 4_096 });
    expect(large.answerBytes).toEqual(32 * MB);
    expect(large.callerBytes).toBeGreaterThan(400 * MB);
  });

  it('assumes a small instance where the settings say nothing', () => {
    expect(deriveResourceLimits(undefined).callerBytes).toBeLessThan(32 * MB);
  });
});
