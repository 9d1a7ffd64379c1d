/* eslint-disable import-x/extensions -- a script run by Node without a loader */
// A client whose head has many lines, within the limit: does the runner get what the client sent?
import { playCase, sendRequest } from '../stand-ins-2/deployment.mjs';

const REQUESTS = 30;
/** Lines before those that name the model, the tokens and the prompt. */
const USUAL_LINES = 40;
const MANY_LINES = 1_100;
const BODY = 'hold satellite 7';
const isTroubled = process.env.TROUBLE !== '0';

const NAMED = {
  'x-corianderwick-model': 'm',
  'x-corianderwick-token-count': '1460,80',
  'x-corianderwick-prompt-prefix': '5c1e07a2:800,91bd3f06:410,e4402b7d:250',
};

/** Short lines such as those in which a client carries its context; the whole head stays below 16,384 bytes. */
const makeLines = () => {
  const count = isTroubled ? MANY_LINES : USUAL_LINES;
  const context = Array.from({ length: count }, (_, index) => [`c${index}`, 'v']).flat();
  return [...context, ...Object.entries(NAMED).flat()];
};

process.exitCode = await playCase({
  file: new URL('record.txt', import.meta.url).pathname,
  play: async ({ gateways, runners, record }) => {
    const sent = [];
    for (let index = 0; index < REQUESTS; index += 1) {
      const options = { path: '/write/x', method: 'POST', body: BODY, extraLines: makeLines() };
      // eslint-disable-next-line no-await-in-loop -- one request at a time
      sent.push(await sendRequest(gateways[index % gateways.length], { ...options, record }));
    }
    const runs = runners.flatMap((runner) => runner.runs);
    const changed = runs.filter(
      ({ headers, body }) =>
        body !== BODY || Object.entries(NAMED).some(([name, value]) => headers[name] !== value),
    );
    changed.forEach(({ id, headers, body }) => {
      const got = Object.keys(NAMED).map((name) => [name, headers[name] ?? 'missing']);
      record({ what: 'run otherwise than its client sent it', id, body, got });
    });
    const answered200 = sent.filter(({ status }) => status === 200).length;
    return { held: changed.length === 0, ran: runs.length, changed: changed.length, answered200 };
  },
});
