import { describe, it } from 'node:test';
import { expect } from 'earl';
import { call, runnerSpec, startReadyGateway } from './startGateway.ts';
import { notRun, signed, startRunner } from './startRunner.ts';

describe('a gateway whose endpoint answered that it has no room, though it ran the request', () => {
  // Guards against a caller that is told that its request has not run: these statuses say so (REFUSED).
  [
    '429 Too Many Requests',
    '503 Service Unavailable',
    '408 Request Timeout',
    '421 Misdirected Request',
  ].forEach((status) =>
    it(`does not pass on ${status} without the statement that it has not run`, async (context) => {
      const runner = await startRunner(context, (request) =>
        request.socket.write(signed(request, status, 'Content-Length: 0\r\n\r\n')),
      );
      const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
      const got = await call(gateway.addresses.callers, { path: '/write/1', method: 'POST' });
      expect([got.status, got.headers['retry-after'], runner.arrived.length]).toEqual([
        502,
        undefined,
        1,
      ]);
    }),
  );

  it('does not call a request not run whose first answer was lost', async (context) => {
    const lost = await startRunner(context, (request) => request.socket.destroy());
    const full = await startRunner(context, (request) => request.socket.write(notRun()));
    const { gateway } = await startReadyGateway(context, {
      'i-1': runnerSpec('plain', lost),
      'i-2': runnerSpec('plain', full),
    });
    const statuses = await Promise.all(
      [1, 2, 3, 4].map(
        async (id) => (await call(gateway.addresses.callers, { path: `/read/${id}` })).status,
      ),
    );
    // Only those that reached no other endpoint than the full one have not run.
    expect(statuses.filter((status) => status === 502).length).toEqual(lost.arrived.length);
  });
});
