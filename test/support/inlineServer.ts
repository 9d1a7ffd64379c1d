import * as http from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { TestContext } from 'node:test';

/** One request as a tiny server saw it. */
export interface SeenRequest {
  readonly method: string;
  readonly url: string;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
}

/** A tiny server whose behaviour is one function, closed with the test. */
export interface InlineServer {
  readonly address: string;
  readonly seen: SeenRequest[];
  readonly connections: () => number;
  /** Takes no new connections, as after the end of its process. */
  readonly stopListening: () => void;
  /** Ends all connections and takes new ones, as after a crash and a new start of its process. */
  readonly restart: () => void;
}

/** Starts a server on a free port; `handle` gets each request once its body is in. */
export const startInlineServer = async (
  context: TestContext,
  handle: (request: SeenRequest, response: http.ServerResponse, count: number) => void,
): Promise<InlineServer> => {
  const seen: SeenRequest[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const one = {
        method: request.method ?? '',
        url: request.url ?? '',
        headers: request.headers,
        body: Buffer.concat(chunks).toString(),
      };
      seen.push(one);
      handle(one, response, seen.length);
    });
  });
  server.on('connection', (socket) => {
    connections += 1;
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `http://127.0.0.1:${port}`,
    seen,
    connections: () => connections,
    stopListening: () => {
      server.close();
    },
    restart: () => sockets.forEach((socket) => socket.end()),
  };
};

/** Gives an address at which nothing listens. */
export const closedAddress = async (): Promise<string> => {
  const server = http.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `http://127.0.0.1:${port}`;
};
