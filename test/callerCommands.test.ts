import { afterEach, test } from 'node:test';
import { expect } from 'earl';
import { COMMANDS } from '../src/cli/commands/index.ts';
import { EXIT_CODES } from '../src/cli/exitCodes.ts';
import { runProgram } from '../src/cli/runProgram.ts';
import { SECRET, startCallerServer } from './support/callerServer.ts';
import { closedAddress, startInlineServer } from './support/inlineServer.ts';

afterEach(() => {
  process.exitCode = 0;
});

const run = (...words: readonly string[]): Promise<unknown> =>
  runProgram([...words, '--json'], COMMANDS);

const startEntry = async (
  context: Parameters<typeof startInlineServer>[0],
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string,
): Promise<string> => {
  let address = '';
  const server = await startInlineServer(context, (request, response) => {
    const entries = [{ address, failureDomain: 'a', requestIdPrefix: 'abcdefgh.0_' }];
    if (request.url === '/v1/entries') response.end(JSON.stringify({ entries, keepForMs: 1_000 }));
    else response.writeHead(status, headers).end(body);
  });
  address = server.address.replace('http://', '');
  return address;
};

const refusal = (outcome: string): string =>
  JSON.stringify({
    error: { code: 'x', message: '', type: 'not_run_error', outcome, retry_after_ms: null },
  });

interface OutcomeCase {
  readonly name: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly code: number;
}

const OUTCOMES: readonly OutcomeCase[] = [
  { name: 'completed', status: 200, headers: {}, body: 'held', code: EXIT_CODES.done },
  {
    name: 'not run',
    status: 503,
    headers: { 'x-outcome': 'not-run' },
    body: refusal('not-run'),
    code: EXIT_CODES.notRun,
  },
  {
    name: 'unknown',
    status: 502,
    headers: { 'x-outcome': 'unknown' },
    body: refusal('unknown'),
    code: EXIT_CODES.unknown,
  },
];

OUTCOMES.forEach(({ name, status, headers, body, code }) => {
  test(`request exits with ${code} where the outcome is ${name}`, async (context) => {
    const entry = await startEntry(context, status, headers, body);
    await run('request', '-e', entry, '-k', 'key', '--service', '/services/holds');
    expect(process.exitCode as number).toEqual(code);
  });
});

test('request exits with the code for wrong usage where it names neither model nor service', async () => {
  const failure = await run('request', '-e', '127.0.0.1:1', '-k', 'key').catch(
    (error) => error.oclif.exit,
  );
  expect(process.exitCode ?? failure).toEqual(EXIT_CODES.invalid);
});

test('entries lists what an entry answers, and says when none does', async (context) => {
  const { address } = await startCallerServer(context);
  expect(await run('entries', '-e', address)).toEqual([
    { address: '127.0.0.1:1', failureDomain: 'a', requestIdPrefix: 'abcdefgh' },
  ]);
  const gone = (await closedAddress()).replace('http://', '');
  await run('entries', '-e', gone).catch(() => {});
  expect(process.exitCode as number).toEqual(EXIT_CODES.unreachable);
});

test('an entry to begin with may come from the environment', async (context) => {
  const { address } = await startCallerServer(context);
  process.env.CORIANDERWICK_ENTRY = address;
  context.after(() => delete process.env.CORIANDERWICK_ENTRY);
  expect(await run('entries')).toEqual([
    { address: '127.0.0.1:1', failureDomain: 'a', requestIdPrefix: 'abcdefgh' },
  ]);
});

test('drain drains with the right secret only', async (context) => {
  const { address, drains } = await startCallerServer(context);
  await run('drain', '-e', address, '--secret', 'a wrong one');
  expect([drains(), process.exitCode as number]).toEqual([0, EXIT_CODES.unreachable]);
  process.exitCode = 0;
  await run('drain', '-e', address, '--secret', SECRET);
  expect([drains(), process.exitCode]).toEqual([1, 0]);
});
