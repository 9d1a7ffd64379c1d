// A runner as a process of its own, which a test can kill and start again. Its settings are the first argument, as JSON.
import { createWriteStream } from 'node:fs';
import net from 'node:net';

const { id, port, log, start, events, gapMs } = JSON.parse(process.argv[2]);

const output = createWriteStream(log, { flags: 'a' });
const write = (line) =>
  output.write(`${line}
`);

/** Streams of events whose answers have no length and end with their connections. */
const serve = (socket, head) => {
  const field = (name) => new RegExp(`^${name}: *(.*)$`, 'im').exec(head)?.[1].trim();
  const requestId = field('X-Corianderwick-Request-Id');
  const expected = field('X-Corianderwick-Expect-Instance');
  const own = `X-Corianderwick-Request-Id: ${requestId}\r\n`;
  if (expected !== undefined && expected !== id) {
    socket.write(
      `HTTP/1.1 421 Misdirected Request\r\n${own}X-Corianderwick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
    );
    return;
  }
  write(`run ${requestId} at ${id}, start ${start}`);
  socket.write(
    `HTTP/1.1 200 OK\r\n${own}X-Corianderwick-Server-Stamp: 3e1b.07.5a2.600.${start}.c9f2a4d1\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n`,
  );
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    socket.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
    if (event < events) return;
    clearInterval(timer);
    write(`ended ${requestId} at ${id}: all ${events} events`);
    socket.end();
  }, gapMs);
  socket.on('close', () => clearInterval(timer));
};

net
  .createServer((socket) => {
    socket.setNoDelay(true);
    socket.on('error', () => {});
    let pending = '';
    socket.on('data', (bytes) => {
      pending += bytes.toString('latin1');
      const end = pending.indexOf('\r\n\r\n');
      if (end < 0) return;
      const head = pending.slice(0, end);
      const length = Number(/^Content-Length: *(\d+)$/im.exec(head)?.[1] ?? 0);
      if (pending.length < end + 4 + length) return;
      pending = pending.slice(end + 4 + length);
      serve(socket, head);
    });
  })
  .listen(port, '127.0.0.1', () => process.stdout.write('listening\n'));
