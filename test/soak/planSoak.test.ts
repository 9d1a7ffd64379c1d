import { describe, it } from 'node:test';
import { expect } from 'earl';
import { planSoak } from './planSoak.ts';

const SHAPE = { faultsMs: 60_000, gateways: 5 };

describe('planSoak', () => {
  it('plans the same for the same seed, and something else for another', () => {
    const plan = planSoak({ ...SHAPE, seed: 4 });
    expect(planSoak({ ...SHAPE, seed: 4 })).toEqual(plan);
    expect(planSoak({ ...SHAPE, seed: 5 })).not.toEqual(plan);
  });

  it('comes to every kind of action within a few seeds', () => {
    const tags = new Set(
      [1, 2, 3, 4].flatMap((seed) => planSoak({ ...SHAPE, seed }).map(({ action }) => action._tag)),
    );
    expect(tags.size).toEqual(11);
  });

  it('begins every action within its time, in order', () => {
    const times = planSoak({ ...SHAPE, seed: 6 }).map(({ at }) => at);
    expect(times).toEqual([...times].sort((a, b) => a - b));
    expect((times.at(-1) ?? 0) < SHAPE.faultsMs).toEqual(true);
  });
});
