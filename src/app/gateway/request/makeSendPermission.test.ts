import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import { EndpointDirectory } from '../../../coordination/gateway/index.ts';
import type { EndpointRecord } from '../../../state/gateway/index.ts';
import { ExclusionMonitor } from '../reach/ExclusionMonitor.ts';
import { makeSendPermission } from './makeSendPermission.ts';

const RECORD: EndpointRecord = {
  id: '1',
  service: 'plain',
  address: '10.0.0.1:80',
  failureDomain: 'a',
  version: 'v1',
  slots: 4,
  state: 'ready',
  coldMs: 0,
  bornAt: 1,
};

const makeParts = ({ isCapped = false } = {}) => {
  let now = 0;
  const directory = new EndpointDirectory();
  directory.put(RECORD, 0);
  const exclusions = new ExclusionMonitor({
    group: () => ({ broadcast: () => {} }),
    logger: pino({ level: 'silent' }),
    now: () => now,
  });
  const coldCaps = { isCapped: () => isCapped };
  const maySend = makeSendPermission({ directory, exclusions, coldCaps, now: () => now });
  const setNow = (at: number): void => {
    now = at;
  };
  return { directory, exclusions, maySend: () => maySend(RECORD, 0), setNow };
};

// DRAIN: a request was written to an endpoint that had left while the connection to it opened.
describe('makeSendPermission', () => {
  it('permits a request to an endpoint that is still ready', () => {
    const { maySend, setNow } = makeParts();
    setNow(1_000);
    expect(maySend()).toEqual(true);
  });

  it('forbids one to an endpoint whose entry is gone or says that it drains', () => {
    const gone = makeParts();
    gone.directory.remove('1', 0, undefined, 0);
    const draining = makeParts();
    draining.directory.put({ ...RECORD, state: 'draining' }, 0);
    expect([gone.maySend(), draining.maySend()]).toEqual([false, false]);
  });

  it('forbids one to an endpoint that has started again', () => {
    const { directory, maySend } = makeParts();
    directory.put({ ...RECORD, bornAt: 2 }, 0);
    expect(maySend()).toEqual(false);
  });

  it('forbids one to an endpoint that has said that it leaves', () => {
    const { exclusions, maySend } = makeParts();
    exclusions.observe(RECORD, [{ _tag: 'leaving' }]);
    expect(maySend()).toEqual(false);
  });

  it('forbids a late one to an endpoint that is capped', () => {
    const { maySend, setNow } = makeParts({ isCapped: true });
    expect(maySend()).toEqual(true);
    setNow(400);
    expect(maySend()).toEqual(false);
  });
});
