import { describe, it } from 'node:test';
import { expect } from 'earl';
import { PeerClocks } from './PeerClocks.ts';

describe('PeerClocks', () => {
  // DRAIN, CONFIG: a confirmation that peers told each other again and again looked as young as the last message.
  it('takes a moment that is heard again for no later than it was heard first', () => {
    const clocks = new PeerClocks('here');
    const moment = { clock: 'there/0', at: 500 };
    expect(clocks.toLocal(moment, 10_002)).toEqual(10_002);
    expect(clocks.toLocal(moment, 10_100)).toEqual(10_002);
    expect(clocks.toLocal({ clock: 'there/0', at: 700 }, 10_250)).toEqual(10_202);
  });

  it('knows its own moments, also when peers tell them back late', () => {
    const clocks = new PeerClocks('here');
    expect(clocks.toLocal(clocks.momentOf(900), 990)).toEqual(900);
  });

  it('follows the message that took the least time', () => {
    const clocks = new PeerClocks('here');
    clocks.toLocal({ clock: 'there/0', at: 0 }, 100);
    expect(clocks.toLocal({ clock: 'there/0', at: 1_000 }, 1_002)).toEqual(1_002);
    expect(clocks.toLocal({ clock: 'there/0', at: 2_000 }, 2_100)).toEqual(2_002);
  });

  it('takes the clock of a process that was paused for another one', () => {
    const [here, there] = [new PeerClocks('here'), new PeerClocks('there')];
    here.toLocal(there.momentOf(0), 0);
    there.recordPause();
    expect(here.toLocal(there.momentOf(1_000), 3_000)).toEqual(3_000);
  });

  it('takes the word of a peer that says no moment', () => {
    expect(new PeerClocks('here').toLocal(undefined, 42)).toEqual(42);
  });
});
