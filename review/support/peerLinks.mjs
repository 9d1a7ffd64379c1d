/* eslint-disable */
// Proxies before the ports on which gateways listen for each other, so that a test can cut one gateway off from the others.
import { createSocket } from 'node:dgram';
import { readFile, readdir, readlink } from 'node:fs/promises';
import net from 'node:net';

/** Returns the inode of the socket that has a local port, connected to another port. */
const findInode = async (localPort, remotePort) => {
  const hex = (port) => port.toString(16).toUpperCase().padStart(4, '0');
  const text = await readFile('/proc/net/tcp', 'utf8');
  const line = text
    .split('\n')
    .map((entry) => entry.trim().split(/\s+/))
    .find(
      ([, local = '', remote = '']) =>
        local.endsWith(`:${hex(localPort)}`) && remote.endsWith(`:${hex(remotePort)}`),
    );
  return line?.[9];
};

const holdsSocket = async (pid, inode) => {
  try {
    const names = await readdir(`/proc/${pid}/fd`);
    const links = await Promise.all(
      names.map((name) => readlink(`/proc/${pid}/fd/${name}`).catch(() => '')),
    );
    return links.includes(`socket:[${inode}]`);
  } catch {
    return false;
  }
};

/**
 * Starts one proxy, for TCP and UDP, before the peer port of each gateway.
 *
 * @param gateways - the gateways of a deployment; each gets the address of its proxy as `peerIp`
 */
export const startPeerLinks = async (gateways) => {
  let cutOff;
  const held = [];
  const closers = [];
  const isCut = (from, to) => cutOff !== undefined && (from === cutOff || to === cutOff);
  const pass = (from, to, action) => {
    if (isCut(from, to)) held.push(action);
    else action();
  };
  /** Finds the gateway, a process of this test, that opened a connection. */
  const findSource = async (socket) => {
    const inode = await findInode(socket.remotePort, socket.localPort);
    if (inode === undefined) return undefined;
    for (const gateway of gateways) {
      if (gateway.child !== undefined && (await holdsSocket(gateway.child.pid, inode)))
        return gateway;
    }
    return undefined;
  };

  for (const gateway of gateways) {
    const sockets = new Set();
    const server = net.createServer({ allowHalfOpen: true, pauseOnConnect: true }, async (near) => {
      sockets.add(near);
      near.on('close', () => sockets.delete(near));
      near.on('error', () => {});
      const source = await findSource(near);
      pass(source, gateway, () => {
        const far = net.connect({ port: gateway.peerPort, host: gateway.ip, allowHalfOpen: true });
        sockets.add(far);
        far.on('close', () => sockets.delete(far));
        const relay = (from, to) => {
          from.on('data', (bytes) => pass(source, gateway, () => !to.destroyed && to.write(bytes)));
          from.on('end', () => pass(source, gateway, () => !to.destroyed && to.end()));
          from.on('error', () => pass(source, gateway, () => to.destroy()));
        };
        relay(near, far);
        relay(far, near);
        near.resume();
      });
    });
    // Seeds have the same peer port as every other gateway, at an address of their own.
    const ip = gateway.ip.replace(/\d+$/, (last) => String(Number(last) + 100));
    await new Promise((resolve) => {
      server.listen(gateway.peerPort, ip, resolve);
    });
    const datagrams = createSocket('udp4');
    datagrams.on('error', () => {});
    datagrams.on('message', (bytes, { address }) => {
      const source = gateways.find(({ ip }) => ip === address);
      // Datagrams are lost in a cut.
      if (!isCut(source, gateway)) datagrams.send(bytes, gateway.peerPort, gateway.ip);
    });
    await new Promise((resolve) => {
      datagrams.bind(gateway.peerPort, ip, resolve);
    });
    gateway.peerIp = ip;
    closers.push(() => {
      server.close();
      datagrams.close();
      sockets.forEach((socket) => socket.destroy());
    });
  }
  return {
    /** Cuts a gateway off from all others. Bytes are held up meanwhile. */
    cut: (gateway) => {
      cutOff = gateway;
    },
    heal: () => {
      cutOff = undefined;
      held.splice(0).forEach((action) => action());
    },
    close: () => closers.forEach((close) => close()),
  };
};
