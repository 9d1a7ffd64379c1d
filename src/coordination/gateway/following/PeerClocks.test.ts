import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PeerClocks } from './PeerClocks.ts';

describe('PeerClocks', () => {
  // DRAIN, CONFIG: a confirmation that peers told each other again and again looked as young as the last message.
  it('takes a moment that is heard again for no later than it was heard first', () => {
    const clocks = new PeerClocks('here');
    const moment = { clock: 'there/0', at: 500 };
    expect(clocks.toLocal(moment, 10_002, 0)).toEqual(10_002);
    expect(clocks.toLocal(moment, 10_100, 0)).toEqual(10_002);
    expect(clocks.toLocal({ clock: 'there/0', at: 700 }, 10_250, 0)).toEqual(10_202);
  });

  it('knows its own moments, also when peers tell them back late', () => {
    const clocks = new PeerClocks('here');
    expect(clocks.toLocal(clocks.momentOf(900), 990, 0)).toEqual(900);
  });

  it('follows the message that took the least time', () => {
    const clocks = new PeerClocks('here');
    clocks.toLocal({ clock: 'there/0', at: 0 }, 100, 0);
    expect(clocks.toLocal({ clock: 'there/0', at: 1_000 }, 1_002, 0)).toEqual(1_002);
    expect(clocks.toLocal({ clock: 'there/0', at: 2_000 }, 2_100, 0)).toEqual(2_002);
  });

  it('follows a clock that runs slower, or stood still for a moment', () => {
    const clocks = new PeerClocks('here');
    const toLocal = (at: number, now: number): number =>
      clocks.toLocal({ clock: 'there/0', at }, now, now);
    toLocal(0, 1_000);
    expect(toLocal(8_000, 9_400)).toEqual(9_000);
    expect(toLocal(18_000, 19_400)).toEqual(19_000);
    expect(toLocal(28_500, 29_900)).toEqual(29_900);
  });

  it('takes the clock of a process that was paused for another one', () => {
    const [here, there] = [new PeerClocks('here'), new PeerClocks('there')];
    here.toLocal(there.momentOf(0), 0, 0);
    there.recordPause();
    expect(here.toLocal(there.momentOf(1_000), 3_000, 0)).toEqual(3_000);
  });

  it('takes the word of a peer that says no moment', () => {
    expect(new PeerClocks('here').toLocal(undefined, 42, 0)).toEqual(42);
  });
});
