import { describe, it } from 'node:test';
import { expect } from 'earl';
import { call, runnerSpec, startReadyGateway, type CallerAnswer } from './startGateway.ts';
import {
  answer,
  chunk,
  END,
  event,
  signed,
  startRunner,
  streamHead,
  unframedStreamHead,
  type ArrivedRequest,
  type RunnerScript,
  type RunnerStandIn,
} from './startRunner.ts';

/** Silence after which an endpoint may have started again, as after a cut of the link. */
const SILENCE_MS = 400;

const later = (action: () => void): void => {
  setTimeout(action, SILENCE_MS);
};

const isCheck = ({ line }: ArrivedRequest): boolean => /^GET \/(api\/report|healthz) /.test(line);

const countChecks = ({ arrived }: RunnerStandIn): number => arrived.filter(isCheck).length;

/** Answers checks, and requests as a script does. */
const checked =
  (script: RunnerScript): RunnerScript =>
  (request, count) => {
    if (isCheck(request)) request.socket.write('HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n');
    else script(request, count);
  };

/** What reaches the gateway of a crash and a new start behind a cut: silence, what the cut held back, the ends. */
const CRASHES: Readonly<
  Record<string, (runner: () => RunnerStandIn, request: ArrivedRequest) => void>
> = {
  'between its events': (runner, request) => {
    request.socket.write(`${unframedStreamHead(request)}${event(1)}`);
    later(() => runner().restart());
  },
  'while the cut held back its last event': (runner, request) => {
    request.socket.write(unframedStreamHead(request));
    later(() => {
      request.socket.write(event(1));
      runner().restart();
    });
  },
  'while the cut held back all of it': (runner, request) =>
    later(() => {
      request.socket.write(`${unframedStreamHead(request)}${event(1)}`);
      runner().restart();
    }),
};

const startCrashing = async (
  context: Parameters<typeof startRunner>[0],
  crash: (runner: () => RunnerStandIn, request: ArrivedRequest) => void,
): Promise<RunnerStandIn> => {
  const runner: RunnerStandIn = await startRunner(
    context,
    checked((request) => crash(() => runner, request)),
  );
  return runner;
};

describe('an answer without a length, of an endpoint that may have started again', () => {
  Object.entries(CRASHES).forEach(([name, crash]) => {
    // ORDER: callers got streams as complete that a crash had broken off, because a new start accepted connections.
    it(`never looks complete as a stream that a crash broke off ${name}`, async (context) => {
      const runner = await startCrashing(context, crash);
      const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('model', runner) });
      const got = await call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
      expect(got.status === 200 && got.complete).toEqual(false);
    });

    // Guards against a resumable stream that ends early at its caller although it could go on elsewhere.
    it(`is resumed as a stream that a crash broke off ${name}`, async (context) => {
      const runner = await startCrashing(context, crash);
      const sound = await startRunner(context, (request) => {
        const text = request.headers['last-event-id'] === '1' ? '' : event(1);
        request.socket.write(streamHead(request) + chunk(text + event(2)) + END);
      });
      const { gateway } = await startReadyGateway(context, {
        'i-1': runnerSpec('model', runner),
        'i-2': runnerSpec('model', sound),
      });
      const got = await call(gateway.addresses.callers, { path: '/resumed/', method: 'POST' });
      expect([got.status, got.complete, got.body]).toEqual([200, true, event(1) + event(2)]);
    });
  });

  // MIXED: guards against a body that a crash truncated and that its caller gets as a success.
  it('never looks whole as a body that a crash broke off', async (context) => {
    const runner = await startCrashing(context, (crashing, request) => {
      request.socket.write(`${signed(request)}\r\nhel`);
      later(() => crashing().restart());
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const got = await call(gateway.addresses.callers, { path: '/write/1', method: 'POST' });
    expect([got.status, got.body]).toEqual([502, '']);
  });

  // Guards against a connection that only seems to be open, since its own end is still on the way.
  it('never looks complete if an earlier connection is open but not answered on', async (context) => {
    let checksBeforeEnd = 0;
    const runner: RunnerStandIn = await startRunner(context, (request) => {
      if (isCheck(request)) return;
      request.socket.write(`${unframedStreamHead(request)}${event(1)}`);
      later(() => {
        checksBeforeEnd = countChecks(runner);
        request.socket.end();
      });
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('model', runner) });
    const got = await call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.complete]).toEqual([200, false]);
    expect(countChecks(runner) - checksBeforeEnd).toEqual(1);
  });

  // Guards against sound streams with pauses that look broken.
  it('is complete as a stream with pauses whose endpoint goes on', async (context) => {
    let checksBeforeEnd = 0;
    const runner: RunnerStandIn = await startRunner(
      context,
      checked((request) => {
        request.socket.write(`${unframedStreamHead(request)}${event(1)}`);
        later(() => {
          request.socket.write(event(2));
          later(() => {
            checksBeforeEnd = countChecks(runner);
            request.socket.end();
          });
        });
      }),
    );
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('model', runner) });
    const got = await call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.complete, got.body]).toEqual([200, true, event(1) + event(2)]);
    expect(countChecks(runner) - checksBeforeEnd).toEqual(1);
    // One in half of the shortest idle timeout that needn't be stated.
    expect(checksBeforeEnd <= (2 * SILENCE_MS) / 250).toEqual(true);
  });

  // Guards against checks, which take work of endpoints, after answers that can't hide a new start.
  it('needs no check as a stream whose events came without a pause before its end', async (context) => {
    const runner = await startRunner(context, (request) => {
      request.socket.write(unframedStreamHead(request));
      let sent = 0;
      const timer = setInterval(() => {
        sent += 1;
        if (sent <= 12) request.socket.write(event(sent));
        else {
          clearInterval(timer);
          request.socket.end();
        }
      }, 10);
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('model', runner) });
    const got = await call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.complete]).toEqual([200, true]);
    expect(runner.arrived.filter(isCheck).length).toEqual(0);
  });

  // Guards against sound slow answers that look broken although the endpoint can be asked.
  it('is whole as a slow body if the endpoint goes on and an earlier connection is open', async (context) => {
    const runner = await startRunner(
      context,
      checked((request) => {
        if (request.line.includes('/first')) request.socket.write(answer(request, 'first'));
        else later(() => request.socket.end(`${signed(request)}\r\nhello`));
      }),
    );
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const send = (path: string): Promise<CallerAnswer> =>
      call(gateway.addresses.callers, { path, method: 'POST' });
    // Two at once, so that a connection is left when the slow one has taken its own.
    await Promise.all([send('/write/first/1'), send('/write/first/2')]);
    const got = await send('/write/slow');
    expect([got.status, got.body]).toEqual([200, 'hello']);
  });

  // LOST: sound streams were cut whose endpoint had closed the idle connection from before during their last pause.
  it('is complete as a stream with pauses whose endpoint closes idle connections after 0.3 s', async (context) => {
    const runner = await startRunner(
      context,
      checked((request) => {
        request.socket.write(`${unframedStreamHead(request)}${event(1)}`);
        later(() => request.socket.end());
      }),
      300,
    );
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('model', runner) });
    const got = await call(gateway.addresses.callers, { path: '/stream/', method: 'POST' });
    expect([got.status, got.complete, got.body]).toEqual([200, true, event(1)]);
  });

  [
    // LOST: the same end made a 502 of a body whose run had succeeded.
    { name: '', paths: ['/write/first', '/write/slow'] },
    // Guards against the same where nothing is known of the endpoint yet, so that it isn't asked while it works.
    { name: ' and has not answered before', paths: ['/write/slow'] },
  ].forEach(({ name, paths }) =>
    it(`is whole as a slow body whose endpoint closes idle connections after 0.3 s${name}`, async (context) => {
      const runner = await startRunner(
        context,
        checked((request) => {
          if (request.line.includes('/first')) request.socket.end(`${signed(request)}\r\nfirst`);
          else later(() => request.socket.end(`${signed(request)}\r\nhello`));
        }),
        300,
      );
      const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
      const send = (path: string): Promise<CallerAnswer> =>
        call(gateway.addresses.callers, { path, method: 'POST' });
      const answers: CallerAnswer[] = [];
      // eslint-disable-next-line no-restricted-syntax, no-await-in-loop -- one request after another
      for (const path of paths) answers.push(await send(path));
      const got = answers.at(-1);
      expect([got?.status, got?.body]).toEqual([200, 'hello']);
    }),
  );

  // LOST: a sound body became a 502 where its endpoint had closed its port to leave, and still ended its answers.
  it('is whole as a body of an endpoint that takes no more connections and still answers', async (context) => {
    const runner: RunnerStandIn = await startRunner(
      context,
      checked((request) => {
        if (request.line.includes('/first')) {
          request.socket.write(answer(request, 'first'));
          return;
        }
        runner.stopListening();
        request.socket.end(`${signed(request)}\r\nhello`);
      }),
    );
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const send = (path: string): Promise<CallerAnswer> =>
      call(gateway.addresses.callers, { path, method: 'POST' });
    // Two at once, so that a connection is left when the last one has taken its own.
    await Promise.all([send('/write/first/1'), send('/write/first/2')]);
    const got = await send('/write/last');
    expect([got.status, got.body]).toEqual([200, 'hello']);
  });

  // LOST: a sound body became a 502 where the check had to wait for a slot of a full endpoint.
  it('is whole as a slow body of a full endpoint that lets the check wait', async (context) => {
    const runner = await startRunner(context, (request) => {
      const { socket } = request;
      if (isCheck(request)) setTimeout(() => socket.write(answer(request, 'ok')), 1_200);
      else later(() => socket.end(`${signed(request)}\r\nhello`));
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const got = await call(gateway.addresses.callers, { path: '/write/full', method: 'POST' });
    expect([got.status, got.body]).toEqual([200, 'hello']);
  });

  // Guards against a request that waits for a check although another endpoint could run it.
  it('is given up as a body that may run again if its endpoint answers no check for a second', async (context) => {
    const silent = await startRunner(context, (request) => {
      if (!isCheck(request)) later(() => request.socket.end(`${signed(request)}\r\nsilent`));
    });
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', silent) });
    const got = await call(gateway.addresses.callers, { path: '/read/1' });
    expect(got.status).toEqual(502);
  });

  // Guards against 502 for the first requests to a new endpoint, whose runs have succeeded.
  it('is whole as a slow body that is the first answer of an endpoint which goes on', async (context) => {
    const runner = await startRunner(
      context,
      checked((request) => later(() => request.socket.end(`${signed(request)}\r\nhello`))),
    );
    const { gateway } = await startReadyGateway(context, { 'i-1': runnerSpec('plain', runner) });
    const got = await call(gateway.addresses.callers, { path: '/write/first', method: 'POST' });
    expect([got.status, got.body]).toEqual([200, 'hello']);
  });
});
