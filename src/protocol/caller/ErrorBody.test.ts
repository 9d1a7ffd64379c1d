import { test } from 'node:test';
import { expect } from 'earl';
import { refusalBody } from './ErrorBody.ts';

test('a refusal says that the request was not run', () => {
  const { error } = refusalBody({ code: 'body_too_large', message: 'Too large.' });
  expect(error.outcome).toEqual('not-run');
});

test('a refusal of an id that was taken before says nothing of whether it ran', () => {
  const { error } = refusalBody({
    code: 'request_id_used',
    message: 'Used.',
    outcomeOmitted: true,
  });
  expect(error.outcome).toEqual(null);
});
