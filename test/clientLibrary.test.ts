import { test } from 'node:test';
import { expect } from 'earl';
import OpenAI from 'openai';
import { decodeChatRequest } from '../src/protocol/caller/ChatRequest.ts';
import { CHUNK, ID, startCallerServer } from './support/callerServer.ts';

const openai = (address: string): OpenAI =>
  new OpenAI({ baseURL: `http://${address}/v1`, apiKey: 'key', maxRetries: 0 });

test('a common client library gets a whole answer', async (context) => {
  const { address, served } = await startCallerServer(context, (_request, answer) => {
    const body = Buffer.from(
      `{"id":"${ID}","object":"chat.completion","choices":[{"index":0,"finish_reason":"stop","message":{"role":"assistant","content":"open"}}]}`,
    );
    answer.sendHead(200, {
      'content-type': 'application/json',
      'content-length': `${body.length}`,
    });
    answer.sendPart(body);
    answer.end();
  });
  const answer = await openai(address).chat.completions.create({
    model: 'small',
    messages: [{ role: 'user', content: 'Which runs are open?' }],
    max_completion_tokens: 20,
  });
  expect(answer.choices[0]?.message.content).toEqual('open');
  const chat = decodeChatRequest(served[0]?.body ?? Buffer.of());
  expect(chat._tag === 'decoded' && [chat.chat.model, chat.chat.maximumOutputTokens]).toEqual([
    'small',
    20,
  ]);
});

test('a common client library gets a stream to its end', async (context) => {
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.sendHead(200, { 'content-type': 'text/event-stream' });
    answer.sendEvent(CHUNK, 1);
    answer.sendEvent(CHUNK, 2);
    answer.end();
  });
  const stream = await openai(address).chat.completions.create({
    model: 'small',
    messages: [{ role: 'user', content: 'Which runs are open?' }],
    stream: true,
  });
  const parts: string[] = [];
  for await (const part of stream) parts.push(part.choices[0]?.delta.content ?? '');
  expect(parts).toEqual(['snow', 'snow']);
});

test('a common client library sees the outcome of a stream that is cut', async (context) => {
  const { address } = await startCallerServer(context, (_request, answer) => {
    answer.sendHead(200, { 'content-type': 'text/event-stream' });
    answer.sendEvent(CHUNK, 1);
    answer.abort('answer_cut');
  });
  const stream = await openai(address).chat.completions.create({
    model: 'small',
    messages: [{ role: 'user', content: 'Which runs are open?' }],
    stream: true,
  });
  const read = async (): Promise<void> => {
    for await (const part of stream) expect(part.id).toEqual(ID);
  };
  await expect(read()).toBeRejectedWith(OpenAI.APIError);
});

test('a common client library surfaces the error object of a refusal', async (context) => {
  const { address } = await startCallerServer(context, (_request, answer) =>
    answer.sendNotRun('account_limit', 2_000),
  );
  const call = openai(address).chat.completions.create({
    model: 'small',
    messages: [{ role: 'user', content: 'Which runs are open?' }],
  });
  const error = await call.then(
    () => undefined,
    (reason: unknown) => reason as InstanceType<typeof OpenAI.APIError>,
  );
  expect(error?.status).toEqual(429);
  expect(error?.code).toEqual('account_limit');
  expect(error?.type).toEqual('not_run_error');
});

test('a common client library lists the models of the account', async (context) => {
  const { address } = await startCallerServer(context);
  const models = await openai(address).models.list();
  expect(models.data.map(({ id }) => id)).toEqual(['small']);
});
