import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import {
  RelianceMonitor,
  StoreContact,
  ViewFreshness,
  type ChangeSpan,
} from '../../../coordination/gateway/index.ts';
import type { PeerMessage } from '../../../protocol/peer/PeerMessage.ts';
import type { Member } from '../../../state/Member.ts';
import { StoreWatch } from './StoreWatch.ts';
import { ViewExchange } from './ViewExchange.ts';
import { ViewReporter } from './ViewReporter.ts';

const WATCHER = 'watcher';

/** The exchange of the watcher of a failure domain with one more member. */
const makeExchange = () => {
  const sent: PeerMessage[] = [];
  const member: Member = {
    incarnation: 'follower',
    callerAddress: '10.0.0.2:8080',
    peerAddress: '10.0.0.2:7600',
    failureDomain: 'a',
    region: 'r',
    status: 'alive',
    revision: 0,
    draining: false,
  };
  const group = {
    incarnation: WATCHER,
    storeWatcher: () => WATCHER,
    storeCallRank: () => 0,
    sameDomainPeers: () => [member],
    liveMembers: () => [member],
    otherStoreCallers: () => [],
    send: (_to: string, message: PeerMessage) => {
      sent.push(message);
      return true;
    },
    broadcast: () => {},
  };
  const watch = (kind: 'configuration' | 'endpoints'): StoreWatch =>
    new StoreWatch({
      store: {
        list: () => new Promise(() => {}),
        watch: () => new Promise(() => {}),
      },
      kind,
      isReliedOn: () => true,
      now: () => 0,
      random: () => 0,
      sleep: () => new Promise(() => {}),
      onWatchResult: () => {},
      onConfirmed: () => {},
      listener: {
        onList: () => {},
        onChanges: () => {},
        onAvailable: () => {},
        onUnavailable: () => {},
      },
    });
  const watches = { configuration: watch('configuration'), endpoints: watch('endpoints') };
  const freshness = new ViewFreshness();
  const contact = new StoreContact();
  const exchange = new ViewExchange({
    group,
    watches,
    freshness,
    contact,
    reliance: new RelianceMonitor(),
    reporter: new ViewReporter({ group, watches, freshness, contact }),
    logger: pino({ level: 'silent' }),
    now: () => 0,
  });
  const spans = (): ChangeSpan[] =>
    sent.flatMap((message) => (message._tag === 'storeChanges' ? [message] : []));
  return { exchange, spans };
};

describe('ViewExchange', () => {
  // DRAIN: an endpoint that came and went in a gap of the history stayed in use at a member that had seen it come.
  it('relays at once which objects a list holds, also where it brings no change', () => {
    const { exchange, spans } = makeExchange();
    exchange.relay('endpoints', { fromRevision: 10, toRevision: 11, changes: [] }, 4);
    const listed = { fromRevision: 11, toRevision: 14, changes: [], present: ['stays'] };
    exchange.relay('endpoints', listed, 4);
    expect(spans().map(({ present }) => present)).toEqual([undefined, ['stays']]);
  });
});
