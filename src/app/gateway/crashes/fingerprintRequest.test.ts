import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { InboundRequest } from '../../../transport/gateway/index.ts';
import { fingerprintRequest } from './fingerprintRequest.ts';

const REQUEST: InboundRequest = {
  method: 'POST',
  target: '/read/a?b=1',
  host: 'desk.example',
  headerLines: ['X-Corianderwick-Request-Id', 'one'],
  body: Buffer.from('prompt'),
  arrivedAt: 1,
};
const ORIGINAL = fingerprintRequest(REQUEST, 'office');

describe('fingerprintRequest', () => {
  it('is the same whatever the headers and the time', () => {
    const again = { ...REQUEST, headerLines: ['X-Corianderwick-Request-Id', 'two'], arrivedAt: 2 };
    expect(fingerprintRequest(again, 'office')).toEqual(ORIGINAL);
  });

  const DIFFERENCES: Readonly<Record<string, Partial<InboundRequest>>> = {
    method: { method: 'PUT' },
    query: { target: '/read/a?b=2' },
    host: { host: 'other.example' },
    body: { body: Buffer.from('prompt!') },
    'presence of a body': { body: undefined },
  };
  Object.entries(DIFFERENCES).forEach(([name, difference]) =>
    it(`differs by ${name}`, () => {
      expect(fingerprintRequest({ ...REQUEST, ...difference }, 'office')).not.toEqual(ORIGINAL);
    }),
  );

  it('differs by client account', () => {
    expect(fingerprintRequest(REQUEST, 'other')).not.toEqual(ORIGINAL);
    expect(fingerprintRequest(REQUEST, undefined)).not.toEqual(ORIGINAL);
  });

  it('tells no text of the request', () => {
    expect(ORIGINAL).toMatchRegex(/^request:[\w-]{32}$/);
  });
});
