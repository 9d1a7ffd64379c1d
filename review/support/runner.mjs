// Stand-in for a runner. It reads requests from plain sockets, so that a test decides each byte of the answer.
import net from 'node:net';

let stamps = 0;

const REASON = {
  200: 'OK',
  421: 'Misdirected Request',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
};

/** Writes an answer with a length. */
export const encodeAnswer = (status, headers, body) => {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
  const head = `HTTP/1.1 ${status} ${REASON[status] ?? 'Other'}\r\n${lines.join('')}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n`;
  return Buffer.concat([Buffer.from(head, 'latin1'), Buffer.from(body)]);
};

const parseHead = (text) => {
  const [line, ...rest] = text.split('\r\n');
  const [method, path] = line.split(' ');
  const headers = {};
  rest.forEach((entry) => {
    const at = entry.indexOf(':');
    if (at > 0) headers[entry.slice(0, at).toLowerCase()] = entry.slice(at + 1).trim();
  });
  return { method, path, headers };
};

/**
 * Starts a runner on a free port.
 *
 * @param id - its id in the store
 * @param serve - called with each request that this runner is to run, and with what it needs to answer
 */
export const startRunner = async ({ id, host = '127.0.0.1', serve, onArrival = () => {} }) => {
  const sockets = new Set();
  const server = net.createServer((socket) => {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
    let pending = Buffer.alloc(0);
    let isBusy = false;
    const next = () => {
      if (isBusy) return;
      const end = pending.indexOf('\r\n\r\n');
      if (end < 0) return;
      const request = parseHead(
        pending
          .subarray(0, end)
          .toString('latin1')
          .replace(/^(\r\n)+/, ''),
      );
      const length = Number(request.headers['content-length'] ?? 0);
      if (pending.length < end + 4 + length) return;
      request.body = pending.subarray(end + 4, end + 4 + length);
      pending = pending.subarray(end + 4 + length);
      isBusy = true;
      request.id = request.headers['x-corianderwick-request-id'];
      request.at = performance.now();
      request.runner = id;
      const done = () => {
        isBusy = false;
        next();
      };
      const expected = request.headers['x-corianderwick-expect-instance'];
      if (expected !== undefined && expected !== id) {
        socket.write(
          encodeAnswer(
            421,
            { 'X-Corianderwick-Request-Id': request.id, 'X-Corianderwick-Not-Executed': '1' },
            '',
          ),
        );
        done();
        return;
      }
      onArrival(request);
      stamps += 1;
      const own = {
        'X-Corianderwick-Request-Id': request.id,
        'X-Corianderwick-Server-Stamp': `3e1b.07.5a2.600.${stamps}.c9f2a4d1`,
      };
      serve({
        request,
        socket,
        own,
        /** Sends a whole answer. */
        answer: (status, headers, body) => {
          if (!socket.destroyed) socket.write(encodeAnswer(status, { ...own, ...headers }, body));
          done();
        },
        done,
      });
    };
    socket.on('data', (bytes) => {
      pending = Buffer.concat([pending, bytes]);
      next();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const close = () => {
    server.close();
    sockets.forEach((socket) => socket.destroy());
  };
  return { id, address: `${host}:${server.address().port}`, close, sockets };
};

/** The entry that a runner writes of itself. */
export const runnerEntry = (runner, service, more = {}) => ({
  service,
  address: runner.address,
  zone: 'mechelen-a',
  version: 'v1',
  slots: 10,
  state: 'ready',
  cold_remaining_ms: 0,
  seq: 1,
  born: 1780000000000,
  ...more,
});
