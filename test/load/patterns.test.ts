import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PATTERNS } from './patterns.ts';
import type { KindOutcome } from './LoadTally.ts';
import { playLoad, type LoadOutcome, type LoadPlay } from './playLoad.ts';

const SEEDS = [1, 2, 3, 4];

const play = (pattern: Omit<LoadPlay, 'seed'>): readonly LoadOutcome[] =>
  SEEDS.map((seed) => playLoad({ ...pattern, seed }));

const mean = (outcomes: readonly LoadOutcome[], pick: (outcome: LoadOutcome) => number): number =>
  outcomes.reduce((sum, outcome) => sum + pick(outcome), 0) / outcomes.length;

const kindMean = (
  outcomes: readonly LoadOutcome[],
  name: string,
  pick: (kind: KindOutcome) => number,
): number =>
  mean(outcomes, ({ kinds }) => {
    const kind = kinds.get(name);
    return kind === undefined ? 0 : pick(kind);
  });

const share = ({ worth, owed }: KindOutcome): number => worth / owed;

describe('the scheduler of model engines', () => {
  describe('on a calm day with a few answers of thousands of tokens', () => {
    const outcomes = play(PATTERNS.calm);

    it('tries long answers on the fastest engines in place of refusing them', () => {
      expect(kindMean(outcomes, 'review', share)).toBeGreaterThan(0.96);
      expect(kindMean(outcomes, 'review', ({ refused }) => refused)).toBeLessThan(2);
    });

    it('holds up hardly any running stream by reading prompts', () => {
      expect(kindMean(outcomes, 'quote', ({ paused }) => paused)).toBeLessThan(5);
    });
  });

  describe('in bursts of a few seconds', () => {
    const outcomes = play(PATTERNS.shortBurst);

    it('keeps the worst seconds of a burst from collapsing', () => {
      expect(mean(outcomes, ({ worstWindow }) => worstWindow)).toBeGreaterThan(0.72);
    });

    it('keeps what is most urgent on time', () => {
      expect(kindMean(outcomes, 'review', share)).toBeGreaterThan(0.94);
    });
  });

  describe('while one engine fails at once whatever it gets', () => {
    const outcomes = play(PATTERNS.failing);

    it('sends it few requests, though it always has a free slot', () => {
      const lost = ['review', 'quote', 'brief'].map((name) =>
        kindMean(outcomes, name, ({ unfinished }) => unfinished),
      );
      expect(Math.max(...lost)).toBeLessThan(20);
      expect(mean(outcomes, ({ worstWindow }) => worstWindow)).toBeGreaterThan(0.65);
    });
  });

  describe('while one engine turns everything away at once', () => {
    const outcomes = play(PATTERNS.turningAway);

    it('loses hardly any request to it', () => {
      expect(kindMean(outcomes, 'review', ({ unfinished }) => unfinished)).toBeLessThan(6);
      expect(kindMean(outcomes, 'review', share)).toBeGreaterThan(0.93);
    });
  });

  describe('while two of the fast engines accept three requests a second each', () => {
    const outcomes = play(PATTERNS.limited);

    it('uses the limits nearly in full, and never more', () => {
      const use = mean(outcomes, ({ limitUse }) => limitUse);
      expect(use).toBeGreaterThan(0.9);
      expect(use).toBeLessThan(1.5);
    });

    it('serves nearly as much as without limits, as the limited engines get the long requests', () => {
      const unlimited = mean(play(PATTERNS.calm), ({ worth }) => worth);
      expect(mean(outcomes, ({ worth }) => worth)).toBeGreaterThan(0.95 * unlimited);
    });
  });

  describe('while all engines accept three requests a second each', () => {
    const outcomes = play(PATTERNS.allLimited);

    it('serves the most urgent kind first, and starves none', () => {
      const [review = 0, quote = 0, brief = 0] = ['review', 'quote', 'brief'].map((name) =>
        kindMean(outcomes, name, share),
      );
      expect(review).toBeGreaterThan(quote);
      expect(quote).toBeGreaterThan(brief);
      expect(brief).toBeGreaterThan(0.25);
      expect(mean(outcomes, ({ limitUse }) => limitUse)).toBeGreaterThan(0.9);
    });
  });

  describe('under more than the engines can do for half a minute', () => {
    const outcomes = play(PATTERNS.sustained);

    it('gives no slot to a caller that came back late while others can still be on time', () => {
      expect(mean(outcomes, ({ worth }) => worth)).toBeGreaterThan(0.8);
      expect(kindMean(outcomes, 'brief', ({ late }) => late)).toBeLessThan(60);
    });

    it('serves as many callers as the engines can, small requests of a rank first', () => {
      expect(kindMean(outcomes, 'quote', ({ onTime }) => onTime)).toBeGreaterThan(470);
      expect(mean(outcomes, ({ worstWindow }) => worstWindow)).toBeGreaterThan(0.6);
    });

    it('serves the largest requests of a kind at least half as often as the kind', () => {
      ['review', 'quote', 'brief'].forEach((name) => {
        const large = kindMean(
          outcomes,
          name,
          ({ largeAsked, largeServed }) => largeServed / largeAsked,
        );
        const all = kindMean(outcomes, name, ({ asked, onTime, late }) => (onTime + late) / asked);
        expect(large).toBeGreaterThan(0.6 * all);
      });
    });

    it('refuses at once what it will not serve', () => {
      expect(mean(outcomes, ({ meanHeldMs }) => meanHeldMs)).toBeLessThan(100);
    });

    it('serves a more urgent kind no less than a less urgent one', () => {
      const [review = 0, quote = 0, brief = 0] = ['review', 'quote', 'brief'].map((name) =>
        kindMean(outcomes, name, share),
      );
      expect(review).toBeGreaterThan(quote);
      expect(quote).toBeGreaterThan(brief - 0.05);
    });

    it('starves no kind', () => {
      expect(kindMean(outcomes, 'brief', ({ asked, onTime }) => onTime / asked)).toBeGreaterThan(
        0.25,
      );
    });
  });
});
