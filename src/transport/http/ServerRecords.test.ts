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
    expect(records.mayLeaveEndUnmarked(SERVER, 0)).toEqual(true);
    records.recordHead(SERVER, head('length'), 0);
    expect(records.mayLeaveEndUnmarked(SERVER, 0)).toEqual(false);
  });

  // Guards against answers that are cut where a server marks only some of its ends.
  it('expects it for a minute of a server that left one out, whatever follows', () => {
    const records = new ServerRecords();
    records.recordHead(SERVER, head('close'), 1_000);
    records.recordHead(SERVER, head('chunked'), 2_000);
    expect(records.mayLeaveEndUnmarked(SERVER, 61_000)).toEqual(true);
    expect(records.mayLeaveEndUnmarked(SERVER, 61_001)).toEqual(false);
  });

  // Guards against memory that grows with the servers that come and go.
  it('forgets the server that answered the longest ago of more than 4,096', () => {
    const records = new ServerRecords();
    for (let index = 0; index < 4_096; index += 1)
      records.recordHead(`http://127.0.0.1:${index}`, head('length'), 0);
    records.recordHead('http://127.0.0.1:0', head('length'), 0);
    records.recordHead('http://127.0.0.2:1', head('length'), 0);
    expect(records.mayLeaveEndUnmarked('http://127.0.0.1:0', 0)).toEqual(false);
    expect(records.mayLeaveEndUnmarked(SERVER, 0)).toEqual(true);
  });
});
