import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { exchange } from '../../test/fakes/exchange.ts';
import type {
  FleetAddresses,
  FleetCommand,
  FleetPlan,
  FleetStats,
} from '../../test/fakes/FakeFleet.ts';

const PROGRAM = fileURLToPath(new URL('../../test/fakes/main.ts', import.meta.url));
const START_TIMEOUT_MS = 20_000;

/** Stand-ins that run in a process of their own. */
export class StandIns {
  private constructor(
    private readonly process: ChildProcess,
    private readonly control: string,
    readonly addresses: FleetAddresses,
  ) {}

  static async start(plan: FleetPlan): Promise<StandIns> {
    const child = spawn(process.execPath, ['--import', 'tsx', PROGRAM], {
      stdio: ['pipe', 'pipe', 'inherit'],
    });
    const lines = createInterface({ input: child.stdout });
    const [line] = await once(lines, 'line', { signal: AbortSignal.timeout(START_TIMEOUT_MS) });
    const { control } = JSON.parse(line);
    const { body } = await exchange(control, { body: { _tag: 'start', plan } });
    return new StandIns(child, control, JSON.parse(body).result);
  }

  get pid(): number {
    return this.process.pid ?? 0;
  }

  async command(command: FleetCommand): Promise<unknown> {
    const { body } = await exchange(this.control, { body: command });
    return JSON.parse(body).result;
  }

  async stats(): Promise<FleetStats> {
    return (await this.command({ _tag: 'stats' })) as FleetStats;
  }

  /** How often each of the request ids was dispatched. */
  async arrivals(ids: readonly string[]): Promise<readonly number[]> {
    return (await this.command({ _tag: 'arrivals', ids })) as number[];
  }

  async stop(): Promise<void> {
    if (this.process.exitCode !== null) return;
    const ended = once(this.process, 'exit');
    this.process.kill('SIGTERM');
    await ended;
  }
}
