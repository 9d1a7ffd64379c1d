/* eslint-disable */
// A proxy before one server. While it is cut, no byte and no end of a connection gets across; afterwards all do.
import net from 'node:net';

/**
 * Starts a link to a server on a free port.
 *
 * @param port - port of the server on 127.0.0.1
 */
export const startLink = async (port) => {
  let isCut = false;
  const held = [];
  const pass = (action) => {
    if (isCut) held.push(action);
    else action();
  };
  const sockets = new Set();
  const relay = (from, to) => {
    from.on('data', (bytes) => pass(() => !to.destroyed && to.write(bytes)));
    from.on('end', () => pass(() => !to.destroyed && to.end()));
    from.on('error', (error) =>
      pass(() => (error.code === 'ECONNRESET' ? to.resetAndDestroy() : to.destroy())),
    );
  };
  const server = net.createServer({ allowHalfOpen: true }, (near) => {
    sockets.add(near);
    near.on('close', () => sockets.delete(near));
    near.setNoDelay(true);
    near.on('error', () => {});
    near.pause();
    pass(() => {
      const far = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      sockets.add(far);
      far.on('close', () => sockets.delete(far));
      far.setNoDelay(true);
      far.on('connect', () => near.resume());
      // A port without a listener refuses the connection.
      far.on('error', (error) => {
        if (error.code === 'ECONNREFUSED') near.resetAndDestroy();
      });
      relay(far, near);
      relay(near, far);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${server.address().port}`,
    cut: () => {
      isCut = true;
    },
    heal: () => {
      isCut = false;
      held.splice(0).forEach((action) => action());
    },
    close: () => {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
};
