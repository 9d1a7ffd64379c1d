/* eslint-disable import-x/extensions, import-x/prefer-default-export -- scripts run by Node without a loader */
// The network between the gateways: what others send to a gateway passes through here, and can be cut off silently.
import dgram from 'node:dgram';
import net from 'node:net';
import { listen } from './sockets.mjs';

/**
 * Starts the way to the port for peers of one gateway.
 *
 * @param own - `host` and `port` where peers reach the gateway
 * @param target - `host` and `port` of the gateway itself
 */
export const startPeerLink = async (own, target) => {
  const sockets = new Set();
  let isCut = false;

  const join = (from, to) => {
    sockets.add(from);
    from.on('data', (bytes) => {
      // What is sent into a cut is lost, as behind a partition whose connections are given up meanwhile.
      if (!isCut) to.write(bytes);
    });
    from.on('error', () => {});
    from.on('close', () => {
      sockets.delete(from);
      if (!isCut) to.destroy();
    });
  };
  const server = net.createServer((near) => {
    if (isCut) {
      // No answer and no end: the opening side has to give up by itself.
      sockets.add(near);
      near.on('error', () => {});
      near.on('close', () => sockets.delete(near));
      return;
    }
    const far = net.connect(target);
    join(near, far);
    join(far, near);
  });
  await listen(server, own.host, own.port);

  const datagrams = dgram.createSocket('udp4');
  datagrams.on('message', (bytes) => {
    if (!isCut) datagrams.send(bytes, target.port, target.host);
  });
  await new Promise((resolve) => {
    datagrams.bind(own.port, own.host, resolve);
  });

  return {
    cut: () => {
      isCut = true;
    },
    heal: () => {
      isCut = false;
      // Bytes were lost, so no connection from before can go on.
      sockets.forEach((socket) => socket.resetAndDestroy());
    },
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
      datagrams.close();
    },
  };
};
