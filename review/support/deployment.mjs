/* eslint-disable */
// Starts the gateways of a small deployment: separate processes, the command of the deploy file, loopback addresses.
import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const children = new Set();

/** Ends a child process with this one, however this one ends. */
export const endWithTest = (child) => {
  children.add(child);
  child.once('exit', () => children.delete(child));
};

process.once('exit', () => children.forEach((child) => child.kill('SIGKILL')));
['SIGTERM', 'SIGINT'].forEach((name) => process.once(name, () => process.exit(2)));

/** The words of the deploy file's `run` line. */
const readCommand = async () => {
  const text = await readFile(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
};

/** Bounds as the sheet of orbitale-hq states them. */
export const BOUNDS = {
  seed_lag_s: 3,
  addr_reuse_s: 2,
  contact_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  strict_revoke: false,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  budget_window_s: 10,
  retry_budget_slack: 52,
  quota_window_s: 8,
  quota_overshoot: 0.1,
  quota_slack: 140000,
  expose_share: 0.1,
  expose_slack: 50,
  rollback_ms: 5000,
  recover_s: 12,
  pass_ms: 120,
  reuse_window_s: 10,
  ttl_max_s: 5,
};

const isFree = (host, port) =>
  new Promise((resolve) => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

/** Loopback addresses of one run, with ports that are free on all of them. */
const pickAddresses = async (count) => {
  const pick = () => 1 + Math.floor(Math.random() * 250);
  const net2 = `127.${pick()}.${pick()}`;
  const ips = Array.from({ length: count }, (_, index) => `${net2}.${index + 10}`);
  const base = 20000 + 40 * Math.floor(Math.random() * 250);
  const ports = Array.from({ length: 40 }, (_, index) => base + index);
  const checks = await Promise.all(ips.flatMap((ip) => ports.map((port) => isFree(ip, port))));
  return checks.every(Boolean) ? { ips, base } : pickAddresses(count);
};

/** One gateway: a process that is started, signalled and restarted. */
class Gateway {
  constructor(deployment, index, zone) {
    this.deployment = deployment;
    this.index = index;
    this.zone = zone;
    this.ip = deployment.ips[index];
    this.name = `front-${zone}-${index + 1}`;
    this.unexpectedEnds = [];
  }

  port(offset) {
    return this.deployment.base + offset;
  }

  get peerPort() {
    return this.port(20);
  }

  get callers() {
    return { host: this.ip, port: this.port(1) };
  }

  get ready() {
    return { host: this.ip, port: this.port(4) };
  }

  async start() {
    const { folder, zones, storeAddress, gateways, base, bounds } = this.deployment;
    const address = (offset) => `${this.ip}:${base + offset}`;
    const settings = {
      node: this.name,
      role: 'gateway',
      machine_class: 'front',
      serves: ['front', 'control', 'directory'],
      ip: this.ip,
      zone: this.zone,
      region: 'be-central',
      zones: Object.fromEntries(zones.map((zone) => [zone, 'be-central'])),
      listen: {
        front: address(1),
        ready: address(4),
        control: address(9),
        directory: address(0),
      },
      internal_ports: [base + 20, base + 35],
      seeds: gateways.slice(0, 3).map(({ ip, peerIp = ip }) => `${peerIp}:${base + 9}`),
      bootstrap: true,
      loss_counts: false,
      limits: {
        cpu_share: 0.675,
        cores: 1,
        memory_mb: 350,
        max_fds: 4100,
        link_mbps: 1000,
        disk_mb: 0,
      },
      data_dir: null,
      discovery: 'platform',
      entry: 'directory',
      heartbeat_ms: 1200,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'quota',
        'rollout',
        'platform',
      ],
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds,
      platform: {
        address: storeAddress,
        form: 'objects',
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
        ttl_min_ms: 1000,
      },
    };
    const path = join(folder, `${this.name}.json`);
    await writeFile(path, JSON.stringify(settings));
    const [program, ...args] = await readCommand();
    if (this.deployment.isClosed) return;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: folder,
        LANG: 'C',
        CORIANDERWICK_BOOT: path,
        // Only where a test puts a proxy before the port for peers.
        ...(this.peerIp && {
          CORIANDERWICK_ADVERTISED_PEER_ADDRESS: `${this.peerIp}:${this.peerPort}`,
        }),
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${this.name}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.errors = '';
    child.stderr.on('data', (bytes) => {
      this.errors = (this.errors + bytes).slice(-4000);
    });
    endWithTest(child);
    this.child = child;
    this.isEndExpected = false;
    child.once('exit', (code, signal) => {
      if (this.child === child) this.child = undefined;
      if (!this.isEndExpected) {
        this.unexpectedEnds.push({ code, signal, errors: this.errors });
        this.deployment.onUnexpectedEnd?.(this, { code, signal, errors: this.errors });
      }
    });
  }

  signal(name) {
    this.child?.kill(name);
  }

  /** Ends the process with a signal, and resolves when it is gone. */
  end(name = 'SIGKILL') {
    const { child } = this;
    if (child === undefined) return Promise.resolve();
    this.isEndExpected = true;
    return new Promise((resolve) => {
      child.once('exit', () => resolve());
      child.kill(name);
    });
  }

  isReady() {
    return new Promise((resolve) => {
      const request = http.get(
        { ...this.ready, path: '/api/readyz', agent: false, timeout: 500 },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('timeout', () => request.destroy());
      request.on('error', () => resolve(false));
    });
  }
}

/**
 * Prepares a deployment.
 *
 * @param storeAddress - `IP:PORT` of the platform's store
 * @param zones - the zone of each gateway
 */
export const makeDeployment = async ({ storeAddress, zones, bounds = BOUNDS }) => {
  const folder = await mkdtemp(join(tmpdir(), 'review-'));
  const deployment = { folder, zones: [...new Set(zones)], storeAddress, bounds, gateways: [] };
  Object.assign(deployment, await pickAddresses(zones.length));
  deployment.gateways = zones.map((zone, index) => new Gateway(deployment, index, zone));
  deployment.start = async () => {
    await Promise.all(deployment.gateways.map((gateway) => gateway.start()));
    await deployment.untilReady();
  };
  deployment.untilReady = async (gateways = deployment.gateways, limitMs = 30_000) => {
    const until = performance.now() + limitMs;
    for (;;) {
      const ready = await Promise.all(gateways.map((gateway) => gateway.isReady()));
      if (ready.every(Boolean)) return;
      if (performance.now() > until) throw new Error('gateways are not ready');
      await sleep(50);
    }
  };
  deployment.close = async () => {
    deployment.isClosed = true;
    await Promise.all(
      deployment.gateways.map(async (gateway) => {
        gateway.signal('SIGCONT');
        await gateway.end('SIGKILL');
      }),
    );
    if (process.env.KEEP_LOGS === undefined) await rm(folder, { recursive: true, force: true });
    else process.stderr.write(`logs: ${folder}\n`);
  };
  return deployment;
};
