import { StringDecoder } from 'node:string_decoder';
import { decodeWatchLine } from '../../protocol/platform/platformObjects.ts';
import type { ObjectKind, WatchEvent } from '../../protocol/platform/PlatformApi.ts';
import { exchange } from '../http/index.ts';
import type { ConnectionPool, Exchange, ExchangeEvent } from '../http/index.ts';

const HTTP_GONE = 410;
const HTTP_OK = 200;
const MAXIMUM_LINE_CHARACTERS = 2 * 1024 * 1024;

/** Where a watch is opened. */
export interface WatchTarget {
  readonly address: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly kind: ObjectKind;
  /** Bookmarks arrive more often than this; a longer silence means a lost connection. */
  readonly silenceMs: number;
}

/**
 * Watches a collection. Each line of the answer is one event.
 *
 * @param pool - where connections come from
 * @param target - what to watch
 * @param onEvent - told each event; `gone` or `broken` comes last and once
 * @returns a handle that ends the watch silently
 */
export const watchCollection = (
  pool: ConnectionPool,
  target: WatchTarget,
  onEvent: (event: WatchEvent) => void,
): Pick<Exchange, 'abort'> => {
  const decoder = new StringDecoder('utf8');
  let ended = false;
  let rest = '';
  let call: Exchange | undefined;

  const tell = (event: WatchEvent): void => {
    if (ended) return;
    ended = event._tag === 'gone' || event._tag === 'broken';
    if (ended) queueMicrotask(() => call?.abort());
    onEvent(event);
  };
  const readLine = (line: string): void => {
    const event = line.trim() === '' ? undefined : decodeWatchLine(target.kind, line);
    if (event) tell(event);
  };
  const read = (bytes: Buffer): void => {
    const lines = (rest + decoder.write(bytes)).split('\n');
    rest = lines.pop() ?? '';
    lines.forEach(readLine);
    if (rest.length > MAXIMUM_LINE_CHARACTERS) {
      tell({ _tag: 'broken', detail: 'watch event is too large' });
    }
  };
  const onExchange = (event: ExchangeEvent): void => {
    switch (event._tag) {
      case 'written':
        return;
      case 'head':
        if (event.status === HTTP_GONE) tell({ _tag: 'gone' });
        else if (event.status !== HTTP_OK) {
          tell({ _tag: 'broken', detail: `status ${event.status}` });
        }
        return;
      case 'data':
        read(event.bytes);
        return;
      case 'ended':
        tell({ _tag: 'broken', detail: 'watch ended' });
        return;
      case 'refused':
      case 'broken':
        tell({ _tag: 'broken', detail: event.detail });
        return;
      default:
        event satisfies never;
    }
  };
  call = exchange(
    pool,
    {
      address: target.address,
      method: 'GET',
      path: target.path,
      headers: target.headers,
      body: undefined,
      fresh: true,
      silenceMs: target.silenceMs,
    },
    onExchange,
  );
  return {
    abort: () => {
      ended = true;
      call?.abort();
    },
  };
};
