import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { PeerGroup } from '../PeerGroup.ts';
import { SchedulerExchange } from './SchedulerExchange.ts';

interface Report {
  readonly name: string;
  readonly at: number;
}

const EVERYONE = 'everyone';

/** An exchange in a group whose scheduler, clock and messages the test controls. */
const makeExchange = (size = 3) => {
  const state = { now: 0, scheduler: 'first', verdicts: 0 };
  const sent: { readonly to: string; readonly kind: string; readonly names: readonly string[] }[] =
    [];
  const note = (to: string, message: PeerMessage): void => {
    const names =
      message._tag === 'servedReports' ? message.reports.map(({ engine }) => engine) : [];
    sent.push({ to, kind: message._tag, names });
  };
  const members = ['own', ...Array.from({ length: size - 1 }, (_, index) => `member-${index}`)];
  const group = {
    incarnation: 'own',
    leader: () => state.scheduler,
    liveMembers: () => members.map((incarnation) => ({ incarnation })),
    send: (to: string, message: PeerMessage) => {
      note(to, message);
      return true;
    },
    broadcast: (message: PeerMessage) => note(EVERYONE, message),
  };
  const exchange = new SchedulerExchange<Report>({
    group: () => group as unknown as PeerGroup,
    now: () => state.now,
    encodeReports: (reports, now) => ({
      _tag: 'servedReports',
      reports: reports.map(({ name, at }) => ({
        service: 's',
        engine: name,
        fingerprint: 'f',
        ageMs: now - at,
      })),
    }),
    encodeVerdicts: () =>
      state.verdicts === 0 ? undefined : { _tag: 'quarantinedParts', parts: [] },
  });
  const tickFor = (ms: number): void => {
    const until = state.now + ms;
    for (; state.now < until; state.now += 50) exchange.tick();
  };
  const report = (name: string): void => exchange.report([{ name, at: state.now }]);
  return { exchange, state, sent, tickFor, report };
};

describe('SchedulerExchange', () => {
  it('reports to the scheduler at once, and again for some seconds', () => {
    const { sent, tickFor, report } = makeExchange();
    report('one');
    expect(sent).toEqual([{ to: 'first', kind: 'servedReports', names: ['one'] }]);
    tickFor(20_000);
    expect(sent.length >= 5 && sent.length <= 8).toEqual(true);
  });

  it('sends a new scheduler the reports of the last minute and all verdicts', () => {
    const { state, sent, tickFor, report } = makeExchange();
    report('old');
    tickFor(61_000);
    report('recent');
    tickFor(20_000);
    sent.length = 0;
    state.scheduler = 'second';
    state.verdicts = 1;
    tickFor(50);
    expect(sent).toEqual([
      { to: 'second', kind: 'servedReports', names: ['recent'] },
      { to: 'second', kind: 'quarantinedParts', names: [] },
    ]);
  });

  it('sends many reports in several messages, and leaves none out', () => {
    const { exchange, sent } = makeExchange();
    exchange.report(Array.from({ length: 150 }, (_, index) => ({ name: `${index}`, at: 0 })));
    expect(sent.map(({ names }) => names.length)).toEqual([64, 64, 22]);
  });

  it('relays reports to all as the scheduler, and sends itself none', () => {
    const { exchange, state, sent, tickFor, report } = makeExchange();
    state.scheduler = 'own';
    report('own');
    exchange.relay([{ name: 'relayed', at: 0 }]);
    tickFor(100);
    expect(sent).toEqual([{ to: EVERYONE, kind: 'servedReports', names: ['relayed'] }]);
  });

  // Guards against traffic of one gateway that grows with the group.
  it('refreshes the verdicts of at most 64 members a second, and of all in turn', () => {
    const { state, sent, tickFor } = makeExchange(151);
    state.scheduler = 'own';
    state.verdicts = 1;
    tickFor(1_000);
    expect(sent.length <= 64).toEqual(true);
    tickFor(2_000);
    expect(new Set(sent.map(({ to }) => to)).size).toEqual(150);
  });
});
