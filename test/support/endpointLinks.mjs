// Loaded into the gateway processes of a play: disturbs their connections to endpoints as a network would.
// The parent process sends the condition. Endpoints are what a gateway connects to at 127.0.0.1; other
// gateways have loopback addresses of their own, and the store's port is left out.
import net from 'node:net';

const ENDPOINT_HOST = '127.0.0.1';
const { PLAY_STORE_PORT: storePort } = process.env;

let condition = 'clear';
const sockets = new Set();
const { connect } = net.Socket.prototype;

const refusal = () =>
  Object.assign(new Error('connect ECONNREFUSED (cut)'), { code: 'ECONNREFUSED' });

const hold = (socket) => {
  const { _handle: handle } = socket;
  if (!handle || socket.destroyed) return;
  handle.readStop();
  handle.readStart = () => 0;
  if (condition === 'silent') socket.cork();
};

const release = (socket) => {
  const { _handle: handle } = socket;
  if (!handle || socket.destroyed) return;
  delete handle.readStart;
  handle.readStart();
  while (socket.writableCorked > 0) socket.uncork();
};

net.Socket.prototype.connect = function connectUnlessCut(...args) {
  const [target] = Array.isArray(args[0]) ? args[0] : args;
  const isEndpoint = target?.host === ENDPOINT_HOST && String(target.port) !== storePort;
  if (!isEndpoint) return connect.apply(this, args);
  sockets.add(this);
  this.once('close', () => sockets.delete(this));
  switch (condition) {
    case 'clear':
      return connect.apply(this, args);
    case 'silent':
    case 'oneWay':
      return this;
    default:
      process.nextTick(() => this.destroy(refusal()));
      return this;
  }
};

process.on('message', (next) => {
  sockets.forEach(release);
  condition = next;
  if (condition === 'silent' || condition === 'oneWay') sockets.forEach(hold);
  if (condition === 'reset') sockets.forEach((socket) => socket.resetAndDestroy());
});
process.channel?.unref();
