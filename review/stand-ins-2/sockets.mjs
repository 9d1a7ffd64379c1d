/* eslint-disable no-await-in-loop -- scripts run by Node without a loader */
// Small helpers of the stand-ins: time, ports and the record of a case.
import { createWriteStream } from 'node:fs';
import net from 'node:net';

/** Returns the time since the start of the script in ms, on the steady clock. */
export const now = () => performance.now();

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Has a server listen, and returns its port. */
export const listen = (server, host, port = 0) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve(server.address().port));
  });

const isFree = async (host, port) => {
  const server = net.createServer();
  try {
    await listen(server, host, port);
  } catch {
    return false;
  }
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return true;
};

const FIRST_PORT = 20_000;
const LAST_PORT = 31_000;

/** Finds the first of some ports in a row that are free at all given addresses. */
export const findPorts = async (hosts, count) => {
  const start = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT - count));
  for (let first = start; first < LAST_PORT; first += count) {
    const ports = Array.from({ length: count }, (_, index) => first + index);
    const checks = await Promise.all(
      hosts.flatMap((host) => ports.map((port) => isFree(host, port))),
    );
    if (checks.every(Boolean)) return first;
  }
  throw new Error('no free ports');
};

/** Reads a body; undefined if its connection closes before its end. */
export const readBody = (stream) =>
  new Promise((resolve) => {
    const pieces = [];
    stream.on('data', (piece) => pieces.push(piece));
    stream.on('end', () => resolve(Buffer.concat(pieces)));
    stream.on('close', () => resolve(undefined));
    stream.on('error', () => resolve(undefined));
  });

/** Writes what happens to a file, one JSON object a line, with the time in seconds. */
export const startRecord = (file) => {
  const stream = createWriteStream(file);
  return {
    record: (entry) => {
      stream.write(`${JSON.stringify({ t: Math.round(now()) / 1_000, ...entry })}\n`);
    },
    close: () =>
      new Promise((resolve) => {
        stream.end(resolve);
      }),
  };
};
