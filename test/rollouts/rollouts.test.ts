import { describe, it } from 'node:test';
import { expect } from 'earl';
import { playRollout, type PlayedFault, type RolloutPlay } from './playRollout.ts';
import { ENGINES, PLAIN, simulateEvidence } from './simulateEvidence.ts';

const SERVICES = { engines: ENGINES, plain: PLAIN };
const BOUNDS = { share: 0.1, slack: 50, rollbackMs: 5_000 };
const DURATION_MS = 15_000;

const play = (
  name: keyof typeof SERVICES,
  fault: PlayedFault | undefined,
  more: Partial<RolloutPlay> = {},
) =>
  playRollout({
    service: SERVICES[name],
    slots: name === 'engines' ? 7 : 6,
    gateways: 20,
    durationMs: DURATION_MS,
    fault,
    seed: 20_261_204,
    ...more,
  });

const FAULTS: Readonly<Record<string, PlayedFault>> = {
  'fails in 0.3 of its responses': { kind: 'failing', part: 0.3, factor: 1, fromMs: 0 },
  'is slower by 3': { kind: 'slow', part: 1, factor: 3, fromMs: 0 },
  'is slower by 4 in half of its responses': { kind: 'slow', part: 0.5, factor: 4, fromMs: 0 },
  'fails from its 10th second on': { kind: 'failing', part: 0.3, factor: 1, fromMs: 10_000 },
};

(['engines', 'plain'] as const).forEach((name) => {
  describe(`a roll-out of ${name}, with 20 gateways`, () => {
    it('completes a good version before the deadline', () => {
      const { states, finalAt } = play(name, undefined);
      expect(states).toEqual(['running', 'completed']);
      expect(finalAt).toBeLessThan(DURATION_MS);
    });

    Object.entries(FAULTS).forEach(([fault, parts]) =>
      it(`keeps the bounds of exposure for a version that ${fault}`, () => {
        const result = play(name, parts);
        expect(result.states).toEqual(['running', 'rolledBack']);
        expect(result.exposed).toBeLessThanOrEqual(BOUNDS.share * result.requests + BOUNDS.slack);
        expect(result.lastSentAt - result.fiftiethBadAt).toBeLessThan(BOUNDS.rollbackMs);
      }),
    );

    it('rolls back a version that fails on one route only', () => {
      const route = SERVICES[name].routes.at(-1)?.name ?? '';
      const fault = { kind: 'failing', part: 0.3, factor: 1, fromMs: 0, route } as const;
      expect(play(name, fault).states).toEqual(['running', 'rolledBack']);
    });

    it('goes on with another driver', () => {
      const { states } = play(name, undefined, { driverChangesAt: 6_000 });
      expect(states).toEqual(['running', 'completed']);
    });

    it('keeps the exposure while the store is away, and ends after it', () => {
      const { states, exposed, requests } = play(name, undefined, {
        storeAway: { fromMs: 6_000, toMs: 18_000 },
      });
      expect(states).toEqual(['running', 'completed']);
      expect(exposed).toBeLessThanOrEqual(BOUNDS.share * requests + BOUNDS.slack);
    });
  });
});

describe('RolloutEvidence over seeded roll-outs', () => {
  const count = 25;
  const find = (name: keyof typeof SERVICES, fault: PlayedFault | undefined): number =>
    Array.from({ length: count }, (_, seed) =>
      simulateEvidence(SERVICES[name], fault, 1 + seed),
    ).filter(({ finding }) => finding !== undefined).length;

  // Engines that are slow by nature, waves of load and crashes must not look like a bad version.
  it('finds nothing in good versions', () => {
    expect([find('engines', undefined), find('plain', undefined)]).toEqual([0, 0]);
  });

  it('finds every version that fails in 0.3 of its responses or is slower by 3', () => {
    const found = [
      find('engines', { kind: 'failing', part: 0.3, factor: 1, fromMs: 0 }),
      find('engines', { kind: 'slow', part: 1, factor: 3, fromMs: 0 }),
      find('plain', { kind: 'failing', part: 0.3, factor: 1, fromMs: 0 }),
      find('plain', { kind: 'slow', part: 1, factor: 3, fromMs: 0 }),
    ];
    expect(found).toEqual([count, count, count, count]);
  });
});
