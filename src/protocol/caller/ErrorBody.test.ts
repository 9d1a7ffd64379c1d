import { test } from 'node:test';
import { expect } from 'earl';
import { callerErrorBody } from './ErrorBody.ts';

test('a caller error reports that the request was not run', () => {
  const { error } = callerErrorBody({ code: 'body_too_large', message: 'Too large.' });
  expect(error.outcome).toEqual('not-run');
});

test('a caller error for an id that was used before omits the outcome', () => {
  const { error } = callerErrorBody({
    code: 'request_id_used',
    message: 'Used.',
    outcomeOmitted: true,
  });
  expect(error.outcome).toEqual(null);
});
