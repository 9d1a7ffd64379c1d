import type { Logger } from 'pino';
import type { GatewayMetrics } from '../GatewayMetrics.ts';
import type { ReachVerdict } from '../reach/ReachMonitor.ts';

/** A run whose connection broke before the end of the answer. */
export interface BrokenRun {
  /** Unique for each attempt. */
  readonly id: string;
  readonly service: string;
  /** Id of the endpoint. */
  readonly endpointId: string;
  /** One start of the endpoint. */
  readonly endpoint: string;
  /** `IP:PORT` of the endpoint. */
  readonly address: string;
  /** Ids of the shared parts of its prompt; none if it had answered for too long to have crashed it by them. */
  readonly parts: readonly string[];
  /** Identifies the request, however often it is sent. */
  readonly fingerprint: string;
}

/**
 * What a check of the endpoint of a broken run found: it takes connections, it has crashed, it was stopped, or
 * this gateway reaches no endpoint at all.
 */
export type CrashFinding = 'accepts' | 'crashed' | 'stopped' | 'isolated';

/** Collaborators of a crash detector. */
export interface CrashDetectorOptions {
  /** Calls back with whether an endpoint accepts a connection at `IP:PORT`. */
  readonly checkEndpoint: (address: string, onChecked: (accepts: boolean) => void) => void;
  /** Calls back with whether this gateway reaches other endpoints than the one with this id. */
  readonly checkReach: (endpointId: string, onVerdict: (verdict: ReachVerdict) => void) => void;
  /** Whether this gateway reaches no endpoint while another gateway does. */
  readonly isIsolatedAlone: () => boolean;
  /** Whether an endpoint is expected to run: it is listed, and neither drains nor was removed. */
  readonly isExpectedToRun: (endpointId: string) => boolean;
  /** Called with the runs that a crash ended, and the time at which the first of them broke. */
  readonly onCrash: (runs: readonly BrokenRun[], at: number) => void;
  readonly metrics: GatewayMetrics;
  readonly logger: Logger;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

/** A crashing endpoint may close its connections a little earlier than its port. */
const CHECK_DELAY_MS = 30;
/**
 * Time after which a gateway without reach checks again: by then it knows of others without reach, which shows
 * that the endpoints are down.
 */
const ISOLATED_RECHECK_MS = 1_000;

interface BrokenRuns {
  readonly runs: BrokenRun[];
  readonly onFound: ((finding: CrashFinding) => void)[];
}

/** Tells crashes of endpoints from connections that broke for another reason. */
export class CrashDetector {
  readonly #options: CrashDetectorOptions;

  /** Broken runs of endpoints that are being checked, by the endpoint's start. */
  readonly #unchecked = new Map<string, BrokenRuns>();

  constructor(options: CrashDetectorOptions) {
    this.#options = options;
  }

  /**
   * Checks whether the endpoint of a broken run has crashed.
   *
   * @param run - the run
   * @param onFound - called once with the finding
   */
  observeBrokenRun(run: BrokenRun, onFound: (finding: CrashFinding) => void = () => {}): void {
    const waiting = this.#unchecked.get(run.endpoint);
    if (waiting !== undefined) {
      waiting.runs.push(run);
      waiting.onFound.push(onFound);
      return;
    }
    const broken = { runs: [run], onFound: [onFound] };
    const at = this.#options.now();
    this.#unchecked.set(run.endpoint, broken);
    setTimeout(() => {
      this.#check(run, (finding) => {
        this.#unchecked.delete(run.endpoint);
        broken.onFound.forEach((callback) => callback(finding));
        if (finding === 'crashed') this.#onCrash(broken.runs, at);
        if (finding === 'isolated') this.#recheck(broken.runs, at);
      });
    }, CHECK_DELAY_MS);
  }

  #check({ address, endpointId }: BrokenRun, onFound: (finding: CrashFinding) => void): void {
    const { checkEndpoint, checkReach, isExpectedToRun } = this.#options;
    checkEndpoint(address, (accepts) => {
      if (accepts) {
        onFound('accepts');
        return;
      }
      checkReach(endpointId, (verdict) => {
        if (verdict === 'isolated') onFound('isolated');
        else onFound(isExpectedToRun(endpointId) ? 'crashed' : 'stopped');
      });
    });
  }

  /** If no gateway reaches an endpoint, the endpoints are down rather than the connections cut. */
  #recheck(runs: readonly BrokenRun[], at: number): void {
    const [first] = runs;
    if (first === undefined) return;
    setTimeout(() => {
      this.#check(first, (finding) => {
        const isOutage = finding === 'isolated' && !this.#options.isIsolatedAlone();
        if (finding === 'crashed' || isOutage) this.#onCrash(runs, at);
      });
    }, ISOLATED_RECHECK_MS);
  }

  #onCrash(runs: readonly BrokenRun[], at: number): void {
    const [first] = runs;
    if (first === undefined) return;
    const { service, endpoint, address } = first;
    this.#options.metrics.countEndpointCrash(service);
    this.#options.logger.warn(
      {
        service,
        endpoint,
        address,
        runs: runs.map(({ id, parts, fingerprint }) => ({ id, parts, fingerprint })),
      },
      'endpoint crashed',
    );
    this.#options.onCrash(runs, at);
  }
}
