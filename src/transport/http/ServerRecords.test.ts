import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { AnswerFraming } from './framingOf.ts';
import { ServerRecords } from './ServerRecords.ts';

const SERVER = 'http://127.0.0.1:1';
const head = (framing: AnswerFraming): Parameters<ServerRecords['recordHead']>[1] => ({
  framing,
  headers: {},
});

describe('ServerRecords', () => {
  // Guards against the first answer of a server that is cut, because nothing was known of it.
  it('expects of a server that has not answered yet that it leaves end marks out', () => {
    const records = new ServerRecords();
    expect(records.expectEnd(SERVER, 0)).toEqual('unknown');
    records.recordHead(SERVER, head('length'), 0);
    expect(records.expectEnd(SERVER, 0)).toEqual('marked');
  });

  // Guards against a check, whose answer is always marked, that passes for the first answer.
  it('expects it of a server that has answered checks only', () => {
    const records = new ServerRecords();
    records.recordIdleTimeout(SERVER, { 'keep-alive': 'timeout=5' });
    records.recordIdleClose(SERVER, 400);
    expect(records.expectEnd(SERVER, 0)).toEqual('unknown');
  });

  it('takes the idle timeout that a server states, or the shortest that it may leave unstated', () => {
    const records = new ServerRecords();
    expect(records.idleTimeoutMs(SERVER)).toEqual(500);
    records.recordIdleTimeout(SERVER, { 'keep-alive': 'timeout=5, max=100' });
    records.recordIdleTimeout(SERVER, {});
    expect(records.idleTimeoutMs(SERVER)).toEqual(5_000);
  });

  // Guards against evidence that is lost again and again at a server with a short timeout.
  it('takes an unstated idle timeout from the connections that a server closed, but none below 0.2 s', () => {
    const records = new ServerRecords();
    records.recordIdleClose(SERVER, 300);
    records.recordIdleClose(SERVER, 900);
    expect(records.idleTimeoutMs(SERVER)).toEqual(300);
    records.recordIdleClose(SERVER, 1);
    expect(records.idleTimeoutMs(SERVER)).toEqual(200);
  });

  // Guards against answers that are cut where a server marks only some of its ends.
  it('expects it for a minute of a server that left one out, whatever follows', () => {
    const records = new ServerRecords();
    records.recordHead(SERVER, head('close'), 1_000);
    records.recordHead(SERVER, head('chunked'), 2_000);
    expect(records.expectEnd(SERVER, 61_000)).toEqual('unmarked');
    expect(records.expectEnd(SERVER, 61_001)).toEqual('marked');
  });

  // Guards against memory that grows with the servers that come and go.
  it('forgets the server that answered the longest ago of more than 4,096', () => {
    const records = new ServerRecords();
    for (let index = 0; index < 4_096; index += 1)
      records.recordHead(`http://127.0.0.1:${index}`, head('length'), 0);
    records.recordHead('http://127.0.0.1:0', head('length'), 0);
    records.recordHead('http://127.0.0.2:1', head('length'), 0);
    expect(records.expectEnd('http://127.0.0.1:0', 0)).toEqual('marked');
    expect(records.expectEnd(SERVER, 0)).toEqual('unknown');
  });
});
