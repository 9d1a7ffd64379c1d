import { performance } from 'node:perf_hooks';
import { test } from 'node:test';
import * as Schema from 'effect/Schema';
import { expect } from 'earl';
import type { EndpointEvent } from '../../protocol/engine/EndpointClient.ts';
import { EntryLimits, EntryTiming } from '../../state/EntrySettings.ts';
import { startInlineServer } from '../../../test/support/inlineServer.ts';
import { runScoped, until } from '../../../test/support/scoped.ts';
import { makeEndpointClient } from './makeEndpointClient.ts';

// Guards against a request that is sent although its lease ended while the connection opened (false "not run").
[true, false].forEach((engine) =>
  test(`a request that may not be sent any more is told as refused: engine ${engine}`, async (context) => {
    const server = await startInlineServer(context, (_request, response) => response.end('x'));
    const client = await runScoped(
      context,
      makeEndpointClient({
        timing: Schema.decodeUnknownSync(EntryTiming)({}),
        limits: Schema.decodeUnknownSync(EntryLimits)({}),
        now: () => performance.now(),
      }),
    );
    const events: EndpointEvent[] = [];
    let connections = 0;
    client.call(
      {
        id: 'abcdefgh.1',
        address: server.address,
        version: 'v1',
        method: 'POST',
        path: '/x',
        headers: {},
        body: Buffer.from('{}'),
        responseForm: 'whole',
        idempotent: false,
        engine,
        mayWrite: () => {
          connections = server.connections();
          return false;
        },
      },
      (event) => events.push(event),
    );
    await until(() => events.length > 0);
    expect(events.map(({ _tag }) => _tag)).toEqual(['refused']);
    expect([connections, server.seen.length]).toEqual([1, 0]);
  }),
);
