// Starts stand-ins and three entries, and shows one request of each kind with its decisions.
import { parseArgs } from 'node:util';
import { exchange } from '../test/fakes/exchange.ts';
import type { Exchange } from '../test/fakes/exchange.ts';
import { sleep } from '../test/fakes/listen.ts';
import { Deployment } from '../measure/harness/Deployment.ts';
import type { DeploymentName } from '../measure/harness/Deployment.ts';
import { buildProgram } from '../measure/harness/EntryProcess.ts';
import { Fleet } from '../measure/harness/Fleet.ts';

/** What the demo sends to each deployment. */
interface Script {
  readonly model: string;
  readonly account: string;
  readonly question: string;
  readonly servicePath: string;
  readonly serviceBody: object;
}

/** One request and what its answer must be. */
interface Step {
  readonly title: string;
  readonly path: string;
  readonly body: object;
  readonly headers?: Readonly<Record<string, string>>;
  readonly expected: (answer: Exchange) => boolean;
}

const ENTRIES = 3;
/** Time for the decision lines of the last request to be written. */
const LOG_DELAY_MS = 200;
const SHOWN_CHARACTERS = 160;

const SCRIPTS: Readonly<Record<DeploymentName, Script>> = {
  orbitale: {
    model: 'launch-desk',
    account: 'franchise-north',
    question: 'Which slots to a 500 km orbit are free in March?',
    servicePath: '/services/holds',
    serviceBody: { slot: 'L-2291', customer: 'north-7' },
  },
  snow: {
    model: 'questions',
    account: 'skier-app',
    question: 'How deep is the snow at the summit this morning?',
    servicePath: '/services/closures',
    serviceBody: { run: 'La Crête', closed: true },
  },
};

const { values } = parseArgs({ options: { deployment: { type: 'string', default: 'orbitale' } } });
if (values.deployment !== 'orbitale' && values.deployment !== 'snow') {
  throw new Error('--deployment takes orbitale or snow');
}
const deployment = new Deployment(values.deployment);
const script = SCRIPTS[deployment.name];
const chat = {
  model: script.model,
  messages: [{ role: 'user', content: script.question }],
  max_tokens: 24,
};

const steps: readonly Step[] = [
  {
    title: 'a model request',
    path: '/v1/chat/completions',
    body: chat,
    expected: ({ status, headers }) => status === 200 && headers['x-outcome'] === undefined,
  },
  {
    title: 'a streamed model request',
    path: '/v1/chat/completions',
    body: { ...chat, stream: true },
    expected: ({ status, body }) => status === 200 && body.trimEnd().endsWith('data: [DONE]'),
  },
  {
    title: 'a call of a plain service that may not be repeated',
    path: script.servicePath,
    body: script.serviceBody,
    headers: { 'x-idempotent': 'false' },
    expected: ({ status }) => status === 200,
  },
  {
    title: 'a request that can not be done in its time, so it must be refused',
    path: '/v1/chat/completions',
    body: { ...chat, max_tokens: 4_000 },
    headers: { 'x-deadline-ms': '50' },
    expected: ({ status, headers }) => status >= 500 && headers['x-outcome'] === 'not-run',
  },
];

const shown = (text: string) =>
  text.length > SHOWN_CHARACTERS ? `${text.slice(0, SHOWN_CHARACTERS)}…` : text;

const send = async (
  fleet: Fleet,
  entry: { address: string; requestIdPrefix: string },
  index: number,
) => {
  const step = steps[index] as Step;
  const id = `${entry.requestIdPrefix}demo-${index + 1}`;
  const answer = await exchange(`http://${entry.address}${step.path}`, {
    headers: {
      authorization: `Bearer ${deployment.keyOf(script.account)}`,
      'content-type': 'application/json',
      'x-request-id': id,
      ...step.headers,
    },
    body: step.body,
  });
  await sleep(LOG_DELAY_MS);
  const good = step.expected(answer);
  console.log(`\n== ${step.title}: ${good ? 'as expected' : 'NOT as expected'}`);
  console.log(`   entry ${entry.address}, id ${id}`);
  console.log(`   status ${answer.status}, outcome ${answer.headers['x-outcome'] ?? 'completed'}`);
  console.log(`   ${shown(answer.body.trim().replaceAll('\n', ' '))}`);
  fleet
    .log()
    .filter(({ requestId }) => requestId === id)
    .forEach((line) => console.log(`   log ${JSON.stringify(line)}`));
  return good;
};

const began = performance.now();
buildProgram();
const fleet = await Fleet.start({ deployment, entries: ENTRIES });
try {
  const { body } = await exchange(`http://${fleet.seeds[0]}/v1/entries`);
  const { entries } = JSON.parse(body);
  console.log(`${deployment.name}: ${ENTRIES} entries; GET /v1/entries says ${body}`);
  const results: boolean[] = [];
  for (let index = 0; index < steps.length; index += 1) {
    results.push(await send(fleet, entries[index % entries.length], index));
  }
  const passed = results.filter(Boolean).length;
  const seconds = ((performance.now() - began) / 1_000).toFixed(1);
  console.log(`\n${passed} passed, ${steps.length - passed} failed, ${seconds} s`);
  process.exitCode = passed === steps.length ? 0 : 1;
} finally {
  await fleet.stop();
}
