import { boolean, integer, string } from '@oclif/core/flags';
import type { CallerCall, CallOutcome } from '../../transport/client/index.ts';
import { entryFlags } from '../entryFlags.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { OperatorCommand } from '../OperatorCommand.ts';
import { withCaller } from '../withCaller.ts';

const CHAT_PATH = '/v1/chat/completions';
const DEFAULT_ATTEMPTS = 4;

interface RequestFlags {
  readonly model?: string;
  readonly prompt?: string;
  readonly stream?: boolean;
  readonly service?: string;
  readonly method: string;
  readonly body?: string;
  readonly 'deadline-ms'?: number;
  readonly 'maximum-tokens'?: number;
  readonly idempotent?: boolean;
  readonly id?: string;
}

const JSON_HEADERS = { 'content-type': 'application/json' };

const modelCall = (
  flags: RequestFlags,
): Pick<CallerCall, 'method' | 'path' | 'headers' | 'body'> => ({
  method: 'POST',
  path: CHAT_PATH,
  headers: JSON_HEADERS,
  body: Buffer.from(
    JSON.stringify({
      model: flags.model,
      messages: [{ role: 'user', content: flags.prompt ?? '' }],
      ...(flags.stream && { stream: true }),
      ...(flags['maximum-tokens'] !== undefined && { max_tokens: flags['maximum-tokens'] }),
    }),
  ),
});

const serviceCall = (
  flags: RequestFlags,
  path: string,
): Pick<CallerCall, 'method' | 'path' | 'headers' | 'body'> => ({
  method: flags.method,
  path,
  ...(flags.body !== undefined && { headers: JSON_HEADERS, body: Buffer.from(flags.body) }),
});

const exitCodeOf = (outcome: CallOutcome): number => {
  switch (outcome._tag) {
    case 'completed':
      return EXIT_CODES.done;
    case 'notRun':
      return EXIT_CODES.notRun;
    case 'unknown':
      return EXIT_CODES.unknown;
    default:
      return outcome satisfies never;
  }
};

const describe = (outcome: CallOutcome): string => {
  switch (outcome._tag) {
    case 'completed':
      return `completed, status ${outcome.status}`;
    case 'notRun':
      return `not run: ${outcome.code}${
        outcome.retryAfterMs === undefined ? '' : `, come back in ${outcome.retryAfterMs} ms`
      }${outcome.message === '' ? '' : `. ${outcome.message}`}`;
    case 'unknown':
      return `unknown: ${outcome.code}. It may have run.`;
    default:
      return outcome satisfies never;
  }
};

const toJson = (outcome: CallOutcome): unknown =>
  outcome._tag === 'completed' ? { ...outcome, body: outcome.body.toString('utf8') } : outcome;

/** Sends one request as a caller that follows the rules. */
export class Request extends OperatorCommand {
  static override summary = 'Send a request to a model or a plain service, and tell its outcome.';

  static override description = `Asks an entry which addresses to use, sends the request to one of them and moves on where that
is safe: to another entry when one is gone, and again only what was certainly not run.

Exit codes: 0 completed, 2 wrong usage, 3 not run, 4 unknown.`;

  static override flags = {
    ...entryFlags,
    key: string({
      char: 'k',
      description: 'Key of the client account.',
      env: 'CORIANDERWICK_KEY',
      required: true,
    }),
    model: string({
      char: 'm',
      description: 'Model to ask.',
      exclusive: ['service'],
    }),
    prompt: string({ char: 'p', description: 'Text for the model.', dependsOn: ['model'] }),
    stream: boolean({
      description: 'Print the model’s answer as it comes.',
      dependsOn: ['model'],
    }),
    'maximum-tokens': integer({
      description: 'Most tokens that the model may generate.',
      dependsOn: ['model'],
      min: 1,
    }),
    service: string({
      char: 's',
      description: 'Path of a plain service, such as /services/holds/42.',
    }),
    method: string({ description: 'HTTP method for the plain service.', default: 'GET' }),
    body: string({ description: 'Body for the plain service, JSON.', dependsOn: ['service'] }),
    'deadline-ms': integer({ description: 'Time for the whole of it, in ms.', min: 1 }),
    idempotent: boolean({
      description: 'Whether the request may run twice; left out, the entry’s default holds.',
      allowNo: true,
    }),
    id: string({ description: 'Request id to use; it is then sent under no other.' }),
    attempts: integer({
      description: 'Most tries.',
      default: DEFAULT_ATTEMPTS,
      min: 1,
    }),
  };

  static override examples = [
    '<%= config.bin %> request -e 10.0.0.7:8080 -k KEY --model summaries --prompt "Which runs are open?" --stream',
    '<%= config.bin %> request -e 10.0.0.7:8080 -k KEY --service /services/holds --method POST --body \'{"slot":7}\' --no-idempotent',
  ];

  async run() {
    const { flags } = await this.parse(Request);
    const { model, service } = flags;
    if (model === undefined && service === undefined) {
      this.error('name a --model or a --service', { exit: EXIT_CODES.invalid });
    }
    const call: CallerCall = {
      ...(service === undefined ? modelCall(flags) : serviceCall(flags, service)),
      deadlineMs: flags['deadline-ms'],
      idempotent: flags.idempotent,
      id: flags.id,
      ...(flags.stream && { onEvent: (data: string) => this.log(data) }),
    };
    const outcome = await withCaller(flags, (caller) => caller.call(call));
    if (outcome._tag === 'completed' && !flags.stream) this.log(outcome.body.toString('utf8'));
    this.logToStderr(
      `${outcome.id || 'no id'} at ${outcome.entry || 'no entry'}, tries ${outcome.attempts}: ${describe(outcome)}`,
    );
    process.exitCode = exitCodeOf(outcome);
    return toJson(outcome);
  }
}
