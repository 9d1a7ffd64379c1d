import { spawn, spawnSync } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { exchange } from '../../test/fakes/exchange.ts';
import { sleep } from '../../test/fakes/listen.ts';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const PROGRAM = join(ROOT, 'dist', 'corianderwick.cjs');
const START_TIMEOUT_MS = 20_000;
const POLL_MS = 20;
/** Ticks of /proc figures on Linux. */
const MS_PER_TICK = 10;

/** One line of an entry's log. */
export interface LogLine {
  /** Unix time in ms. */
  readonly time: number;
  readonly msg?: string;
  readonly decision?: string;
  readonly [field: string]: unknown;
}

/** What a process has cost. */
export interface ProcessCost {
  readonly cpuMs: number;
  readonly residentBytes: number;
}

/** Builds the bundled program, which needs much less memory than one that is compiled as it runs. */
export const buildProgram = (): void => {
  const { status } = spawnSync(process.execPath, [join(ROOT, 'scripts', 'bundle.mjs')], {
    cwd: ROOT,
    stdio: ['ignore', 'inherit', 'inherit'],
  });
  if (status !== 0) throw new Error('the program could not be bundled');
};

/**
 * Reads what a process has cost so far.
 *
 * @param pid - a running process
 * @returns processor time and resident memory
 */
export const costOf = (pid: number): ProcessCost => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const resident = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return { cpuMs: ticks * MS_PER_TICK, residentBytes: Number(resident?.[1] ?? 0) * 1024 };
};

/** One entry process of the product. */
export class EntryProcess {
  callerAddress = '';

  peerAddress = '';

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
    private readonly logFile: string,
  ) {}

  static async start(name: string, folder: string, settings: object): Promise<EntryProcess> {
    const settingsFile = join(folder, `${name}.jsonc`);
    const logFile = join(folder, `${name}.log`);
    writeFileSync(settingsFile, JSON.stringify(settings));
    const log = openSync(logFile, 'w');
    const child = spawn(process.execPath, [PROGRAM, 'serve', '--settings', settingsFile], {
      stdio: ['ignore', log, 'inherit'],
    });
    closeSync(log);
    const entry = new EntryProcess(name, child, logFile);
    await entry.awaitStart();
    return entry;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get running(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  log(): readonly LogLine[] {
    return readFileSync(this.logFile, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('{') && line.endsWith('}'))
      .map((line) => JSON.parse(line));
  }

  cost(): ProcessCost {
    return costOf(this.pid);
  }

  /** Value of a metric without labels; 0 where it isn't there. */
  async metric(name: string): Promise<number> {
    const { body } = await exchange(`http://${this.callerAddress}/metrics`);
    const line = body.split('\n').find((text) => text.startsWith(`${name} `));
    return Number(line?.slice(name.length + 1) ?? 0);
  }

  async ready(): Promise<boolean> {
    return exchange(`http://${this.callerAddress}/readyz`, { timeoutMs: 500 }).then(
      ({ status }) => status === 200,
      () => false,
    );
  }

  async stop(): Promise<void> {
    if (!this.running) return;
    const ended = once(this.child, 'exit');
    this.child.kill('SIGKILL');
    await ended;
  }

  private async awaitStart(): Promise<void> {
    const deadline = performance.now() + START_TIMEOUT_MS;
    while (this.callerAddress === '') {
      const started = this.log().find(({ msg }) => msg === 'entry started');
      this.callerAddress = String(started?.callerAddress ?? '');
      this.peerAddress = String(started?.peerAddress ?? '');
      if (!this.running || performance.now() > deadline) {
        throw new Error(`${this.name} did not start; its log: ${readFileSync(this.logFile)}`);
      }
      await sleep(POLL_MS);
    }
  }
}
