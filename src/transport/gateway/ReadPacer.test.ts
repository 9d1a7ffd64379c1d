import { describe, it } from 'node:test';
import { expect } from 'earl';
import { ReadPacer } from './ReadPacer.ts';

const COST_MS = 30;

/** A pacer on a clock of its own; `read` stands for a turn in which connections bring costly bytes. */
const start = () => {
  let time = 0;
  const afterTurn: (() => void)[] = [];
  const due: { readonly at: number; readonly run: () => void }[] = [];
  const pacer = new ReadPacer({
    now: () => time,
    afterTurn: (run) => afterTurn.push(run),
    schedule: (run, delayMs) => due.push({ at: time + delayMs, run }),
  });
  const endTurn = (costMs: number): void => {
    time += costMs;
    afterTurn.splice(0).forEach((run) => run());
  };
  /** Runs what is scheduled next, and returns the time at which that was. */
  const runNext = (): number => {
    const [next] = due.splice(0, 1);
    if (next === undefined) return Number.NaN;
    time = Math.max(time, next.at);
    next.run();
    return time;
  };
  return { pacer, endTurn, runNext };
};

describe('ReadPacer', () => {
  // Guards against turns of the event loop that belong to many such connections, so that no other is served.
  it('reads one connection at a time, and leaves the loop to others for as long as it took', () => {
    const { pacer, endTurn, runNext } = start();
    const read: string[] = [];
    const names = ['a', 'b', 'c'];
    names.forEach((name) => {
      pacer.wait(() => read.push(name));
    });
    endTurn(COST_MS);
    expect([runNext(), read]).toEqual([2 * COST_MS, ['a']]);
    pacer.wait(() => read.push('a'));
    endTurn(COST_MS);
    expect([runNext(), read]).toEqual([4 * COST_MS, ['a', 'b']]);
  });

  it('does not hold up a connection that is the only one', () => {
    const { pacer, endTurn, runNext } = start();
    let reads = 0;
    pacer.wait(() => {
      reads += 1;
    });
    endTurn(COST_MS);
    expect([runNext(), reads]).toEqual([COST_MS, 1]);
  });

  // Guards against connections that wait forever because the one that was read before them brought nothing costly.
  it('goes on after a connection that does not come back', () => {
    const { pacer, endTurn, runNext } = start();
    const read: string[] = [];
    pacer.wait(() => read.push('a'));
    const leave = pacer.wait(() => read.push('b'));
    pacer.wait(() => read.push('c'));
    leave();
    endTurn(1);
    runNext();
    endTurn(0);
    runNext();
    expect(read).toEqual(['a', 'c']);
  });
});
