// Prints what becomes of each pattern: `node --import tsx test/load/main.ts [SEEDS]`.
import type { RequestKind } from './loadPattern.ts';
import type { ServedRatio } from './LoadTally.ts';
import { PATTERNS } from './patterns.ts';
import { playLoad } from './playLoad.ts';

const seeds = Number(process.argv[2] ?? 3);
const round = (value: number): string => value.toFixed(3);

Object.entries(PATTERNS).forEach(([name, pattern]) => {
  const outcomes = Array.from({ length: seeds }, (_, seed) =>
    playLoad({ ...pattern, seed: seed + 1 }),
  );
  const mean = (pick: (outcome: (typeof outcomes)[number]) => number): number =>
    outcomes.reduce((sum, outcome) => sum + pick(outcome), 0) / outcomes.length;
  console.log(
    `${name.padEnd(16)} worth ${round(mean(({ worth }) => worth))} bound ${round(mean(({ bound }) => bound))} net ${round(mean(({ netWorth }) => netWorth))} worst ${round(mean(({ worstWindow }) => worstWindow))} held ${mean(({ meanHeldMs }) => meanHeldMs).toFixed(0)} ms limits used ${round(mean(({ limitUse }) => limitUse))}`,
  );
  const worst = (pick: (outcome: (typeof outcomes)[number]) => ServedRatio): string => {
    const found = outcomes.map(pick).reduce((a, b) => (b.ratio < a.ratio ? b : a));
    return `${round(found.ratio)} (${found.group}, mean ${round(mean((outcome) => pick(outcome).ratio))})`;
  };
  console.log(
    `  served ${round(mean(({ served }) => served))} refused again ${round(mean(({ refusedAgain }) => refusedAgain))} neighbours ${round(mean(({ neighbours }) => neighbours))} least served account ${worst(({ worstAccount }) => worstAccount)} kind ${worst(({ worstKind }) => worstKind)} size ${worst(({ worstSize }) => worstSize)}`,
  );
  pattern.kinds.forEach((kind: RequestKind) => {
    const of = (
      pick: 'asked' | 'onTime' | 'late' | 'refusedAgain' | 'paused' | 'refused' | 'unfinished',
    ) => mean((outcome) => outcome.kinds.get(kind.name)?.[pick] ?? 0).toFixed(0);
    const worth = mean((outcome) => {
      const found = outcome.kinds.get(kind.name);
      return found === undefined ? 0 : found.worth / found.owed;
    });
    console.log(
      `  ${kind.name.padEnd(8)} asked ${of('asked')} on time ${of('onTime')} late ${of('late')} (pauses ${of('paused')}) refused ${of('refused')} (again ${of('refusedAgain')}) unfinished ${of('unfinished')} large ${round(
        mean((o) => {
          const k = o.kinds.get(kind.name);
          return k === undefined ? 0 : k.largeServed / k.largeAsked;
        }),
      )} worth ${round(worth)}`,
    );
  });
});
