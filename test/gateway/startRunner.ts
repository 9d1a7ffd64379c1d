import * as net from 'node:net';
import type { AddressInfo } from 'node:net';
import type { TestContext } from 'node:test';

/** A request as it reached a runner. */
export interface ArrivedRequest {
  readonly line: string;
  /** Names in lower case; the last line of a name counts. */
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly socket: net.Socket;
}

/** What an answer needs to know of its request. */
export type RequestHead = Pick<ArrivedRequest, 'headers'>;

/** What a runner does with its requests. */
export type RunnerScript = (request: ArrivedRequest, count: number) => void;

/** A runner that speaks raw HTTP, so that it can also break its rules. */
export interface RunnerStandIn {
  readonly address: string;
  readonly arrived: readonly ArrivedRequest[];
  /** Requests whose connection closed before they were answered. */
  readonly abandoned: () => number;
  setScript: (script: RunnerScript) => void;
  /** Takes no new connections, as after the end of its process. */
  stopListening: () => void;
  /** Ends all connections and takes new ones, as after a crash and a new start of its process. */
  restart: () => void;
}

const parse = (text: string, socket: net.Socket): ArrivedRequest => {
  const [head = '', body = ''] = text.split('\r\n\r\n');
  const [line = '', ...lines] = head.split('\r\n');
  const headers = Object.fromEntries(
    lines.map((entry) => {
      const separator = entry.indexOf(':');
      return [entry.slice(0, separator).toLowerCase(), entry.slice(separator + 1).trim()];
    }),
  );
  return { line, headers, body, socket };
};

const isWhole = (text: string): boolean => {
  const end = text.indexOf('\r\n\r\n');
  if (end < 0) return false;
  const length = /content-length: *(\d+)/i.exec(text.slice(0, end))?.[1] ?? '0';
  return text.length - end - 4 >= Number(length);
};

/** The head of an answer to a request, with the runner's signature. */
export const signed = (request: RequestHead, status = '200 OK', more = ''): string =>
  `HTTP/1.1 ${status}\r\nX-Corianderwick-Request-Id: ${request.headers['x-corianderwick-request-id']}\r\n` +
  `X-Corianderwick-Server-Stamp: stamp\r\n${more}`;

/** A whole answer with the runner's signature. */
export const answer = (request: ArrivedRequest, body: string, status = '200 OK'): string =>
  `${signed(request, status)}Content-Length: ${body.length}\r\n\r\n${body}`;

/** An answer that states that the request has not run. */
export const notRun = (): string =>
  'HTTP/1.1 503 Service Unavailable\r\nX-Corianderwick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n';

/** A refusal that names its request, which has not run. */
export const refusal = (
  { headers }: ArrivedRequest,
  status = '503 Service Unavailable',
  more = '',
): string =>
  `HTTP/1.1 ${status}\r\nX-Corianderwick-Request-Id: ${headers['x-corianderwick-request-id']}\r\n` +
  `X-Corianderwick-Not-Executed: 1\r\n${more}Content-Length: 0\r\n\r\n`;

/** The head of a stream. */
export const streamHead = (request: ArrivedRequest): string =>
  `${signed(request, '200 OK', 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')}\r\n`;

/** The head of a stream whose only end is that of its connection. */
export const unframedStreamHead = (request: RequestHead): string =>
  `${signed(request, '200 OK', 'Content-Type: text/event-stream\r\n')}\r\n`;

/** One chunk of a stream. */
export const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** An event of a stream. */
export const event = (id: number): string => `id: ${id}\ndata: token-${id}\n\n`;

/** The end of a stream. */
export const END = '0\r\n\r\n';

/**
 * Starts a runner on a free port; it closes with the test.
 *
 * @param context - the test
 * @param first - what it does with its requests
 * @param unusedMs - time after which it closes a connection that has carried no request
 */
export const startRunner = async (
  context: TestContext,
  first: RunnerScript,
  unusedMs = 0,
): Promise<RunnerStandIn> => {
  const arrived: ArrivedRequest[] = [];
  const sockets = new Set<net.Socket>();
  let abandoned = 0;
  let script = first;
  const server = net.createServer((socket) => {
    sockets.add(socket);
    let text = '';
    let pending = 0;
    socket.on('error', () => {});
    socket.setTimeout(unusedMs, () => socket.end());
    socket.on('close', () => {
      sockets.delete(socket);
      abandoned += pending;
    });
    socket.on('data', (bytes) => {
      socket.setTimeout(0);
      text += bytes.toString('latin1');
      if (!isWhole(text)) return;
      const request = parse(text, socket);
      text = '';
      arrived.push(request);
      const { bytesWritten } = socket;
      script(request, arrived.length);
      pending = socket.bytesWritten > bytesWritten ? 0 : 1;
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    arrived,
    abandoned: () => abandoned,
    stopListening: () => {
      server.close();
    },
    restart: () => sockets.forEach((socket) => socket.end()),
    setScript: (next) => {
      script = next;
    },
  };
};
