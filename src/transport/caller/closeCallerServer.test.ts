import * as net from 'node:net';
import { test } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import { expect } from 'earl';
import { startCallerServer } from '../../../test/support/callerServer.ts';
import { until } from '../../../test/support/scoped.ts';

// Guards against a request that is cut off without an answer because its body was arriving at the end of a drain.
test('a request whose body is arriving is answered also while the server closes', async (context) => {
  const scope = Scope.makeUnsafe();
  const { address } = await startCallerServer(
    context,
    (_request, answer) => answer.sendNotRun('draining', 100),
    {},
    scope,
  );
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  let got = '';
  socket.on('data', (bytes) => {
    got += bytes.toString();
  });
  socket.on('error', () => {});
  socket.write(
    'POST /services/holds HTTP/1.1\r\nHost: x\r\nContent-Length: 8\r\nAuthorization: Bearer key\r\n\r\nhalf',
  );
  await wait(100);
  const closed = Effect.runPromise(Scope.close(scope, Exit.void));
  await wait(100);
  socket.write('half');
  await until(() => socket.closed);
  await closed;
  expect(got).toInclude('X-Outcome: not-run'.toLowerCase());
});
