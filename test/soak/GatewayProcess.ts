import { spawn, type ChildProcess } from 'node:child_process';
import { createWriteStream, writeFileSync, type WriteStream } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Owner } from '../support/Owner.ts';

/** What a gateway process is told. */
export interface GatewayProcessOptions {
  readonly index: number;
  /** Loopback address of its own. */
  readonly ip: string;
  readonly failureDomain: string;
  /** `IP:PORT` under which other gateways reach it. */
  readonly peerAddress: string;
  /** Loopback addresses at which other gateways' peer ports are found. */
  readonly seeds: readonly string[];
  /** `IP:PORT` of the store. */
  readonly storeAddress: string;
  /** Path of the bundled program. */
  readonly program: string;
  /** Where settings and logs lie. */
  readonly folder: string;
  /** What the platform allows the process; half a core where it isn't given. */
  readonly limits?: Readonly<Record<string, number>>;
  /** Starts the program without the module that disturbs its connections to endpoints. */
  readonly undisturbed?: boolean;
  /** Told of a process that ended though nobody asked it to. */
  readonly onUnexpectedEnd: (detail: string) => void;
}

/**
 * What happens to a gateway's connections to endpoints: `silent` holds back bytes and lets no new connection
 * be established; `oneWay` does the same, but what the gateway sends on open connections arrives; `reset`
 * resets open connections and refuses new ones; `refusing` only refuses new ones.
 */
export type EndpointLinks = 'clear' | 'silent' | 'oneWay' | 'reset' | 'refusing';

/** Ports are the same for all: each gateway has an address of its own. */
export const PORTS = { front: 8221, ready: 8224, directory: 8220, peers: 7600, metrics: 7615 };

/** As the deploy file starts it. */
const NODE_OPTIONS = ['--max-old-space-size=200', '--max-semi-space-size=2'];
const ENDPOINT_LINKS = fileURLToPath(new URL('../support/endpointLinks.mjs', import.meta.url));
/** The platform's `grace_s`. */
export const GRACE_MS = 8_000;
const MS_PER_SECOND = 1_000;

/** A program that ends without releasing what it started must not leave processes behind. */
const running = new Set<ChildProcess>();
process.once('exit', () => running.forEach((child) => child.kill('SIGKILL')));

/** One gateway's process on this machine, restarted and harmed by signals. */
export class GatewayProcess {
  readonly #options: GatewayProcessOptions;

  readonly #log: WriteStream;

  #child: ChildProcess | undefined;

  #expectsEnd = false;

  /** Set once what started it is over; a restart that is still due then doesn't take place. */
  #closed = false;

  #starts = 0;

  #endpointLinks: EndpointLinks = 'clear';

  /** Whether the program has begun to run; before that any signal ends a process. */
  #hasSpoken = false;

  constructor(owner: Owner, options: GatewayProcessOptions) {
    this.#options = options;
    this.#log = createWriteStream(join(options.folder, `gateway-${options.index}.log`));
    owner.after(async () => {
      this.#closed = true;
      await this.kill();
      this.#log.end();
    });
  }

  get callers(): string {
    return `${this.#options.ip}:${PORTS.front}`;
  }

  get directory(): string {
    return `${this.#options.ip}:${PORTS.directory}`;
  }

  get metrics(): string {
    return `${this.#options.ip}:${PORTS.metrics}`;
  }

  get readiness(): string {
    return `${this.#options.ip}:${PORTS.ready}`;
  }

  /** Tells one start of the program from the next. */
  get starts(): number {
    return this.#starts;
  }

  /** Id of the process that runs. */
  get pid(): number | undefined {
    return this.#child?.pid;
  }

  get runs(): boolean {
    return this.#child !== undefined;
  }

  /** Writes the settings file; its seeds begin at another gateway each time. */
  writeSettings(turn: number): void {
    const { index, ip, failureDomain, seeds, storeAddress } = this.#options;
    const turned = seeds.map((_, at) => seeds[(at + turn) % seeds.length]);
    const settings = {
      node: `front-${index}`,
      ip,
      zone: failureDomain,
      region: 'here',
      listen: {
        front: `${ip}:${PORTS.front}`,
        ready: `${ip}:${PORTS.ready}`,
        directory: `${ip}:${PORTS.directory}`,
      },
      internal_ports: [PORTS.peers, PORTS.metrics],
      seeds: turned.map((seed) => `${seed}:8229`),
      bounds: {
        grace_s: GRACE_MS / MS_PER_SECOND,
        retry_budget_ratio: 0.2,
        retry_budget_slack: 20,
        budget_window_s: 10,
        quota_window_s: 8,
        quota_overshoot: 0.1,
        quota_slack: 1_000,
        ttl_max_s: 5,
      },
      limits: this.#options.limits ?? { cpu_share: 0.5, cores: 1 },
      platform: { address: storeAddress },
      bootstrap: this.#starts <= 1,
    };
    writeFileSync(this.#settingsPath(), JSON.stringify(settings));
  }

  start(): void {
    if (this.#closed || this.#child !== undefined) return;
    this.#starts += 1;
    this.#expectsEnd = false;
    this.writeSettings(this.#starts);
    const preload = this.#options.undisturbed === true ? [] : ['--import', ENDPOINT_LINKS];
    const child = spawn(process.execPath, [...NODE_OPTIONS, ...preload, this.#options.program], {
      env: {
        PLAY_STORE_PORT: this.#options.storeAddress.split(':')[1],
        PATH: process.env.PATH,
        CORIANDERWICK_BOOT: this.#settingsPath(),
        CORIANDERWICK_ADVERTISED_PEER_ADDRESS: this.#options.peerAddress,
      },
      stdio: ['ignore', 'pipe', 'pipe', 'ipc'],
    });
    this.#child = child;
    if (this.#endpointLinks !== 'clear') this.#tellLinks(child);
    running.add(child);
    this.#hasSpoken = false;
    child.stdout?.once('data', () => {
      this.#hasSpoken = this.#child === child;
    });
    child.stdout?.pipe(this.#log, { end: false });
    child.stderr?.pipe(this.#log, { end: false });
    child.once('exit', (code, signal) => {
      running.delete(child);
      if (this.#child === child) this.#child = undefined;
      if (!this.#expectsEnd) {
        this.#options.onUnexpectedEnd(`gateway ${this.#options.index}: code ${code}, ${signal}`);
      }
    });
  }

  /** Ends it at once, and resolves when it is gone. */
  kill(): Promise<void> {
    return this.#end('SIGKILL');
  }

  /** Asks it to stop; it is killed when the grace is over. */
  async stop(): Promise<void> {
    const child = this.#child;
    const timer = setTimeout(() => child?.kill('SIGKILL'), GRACE_MS);
    await this.#end('SIGTERM');
    clearTimeout(timer);
  }

  /** Changes what happens to its connections to endpoints, also after a restart. */
  setEndpointLinks(links: EndpointLinks): void {
    this.#endpointLinks = links;
    if (this.#child !== undefined) this.#tellLinks(this.#child);
  }

  /** A process that has just ended doesn't hear of them; the next one is told at its start. */
  #tellLinks(child: ChildProcess): void {
    child.send(this.#endpointLinks, () => {});
  }

  pause(): void {
    this.#child?.kill('SIGSTOP');
  }

  resume(): void {
    this.#child?.kill('SIGCONT');
  }

  /** Says that the settings have changed, unless the program hasn't got to its first line yet. */
  hangUp(): void {
    if (this.#hasSpoken) this.#child?.kill('SIGHUP');
  }

  #settingsPath(): string {
    return join(this.#options.folder, `gateway-${this.#options.index}.json`);
  }

  #end(signal: NodeJS.Signals): Promise<void> {
    const child = this.#child;
    if (child === undefined) return Promise.resolve();
    this.#expectsEnd = true;
    return new Promise((resolve) => {
      child.once('exit', () => resolve());
      child.kill(signal);
      // A paused process takes no other signal but SIGKILL before it goes on.
      child.kill('SIGCONT');
    });
  }
}
