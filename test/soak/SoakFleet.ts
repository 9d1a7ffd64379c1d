import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { startObjectStore, type ObjectStoreStandIn } from '../gateway/startObjectStore.ts';
import { loopbackNetwork } from '../support/loopbackNetwork.ts';
import type { Owner } from '../support/Owner.ts';
import type { FaultHistory } from './FaultHistory.ts';
import { FaultLink } from './FaultLink.ts';
import { GatewayProcess, PORTS } from './GatewayProcess.ts';
import type { PromiseChecker } from './PromiseChecker.ts';
import { makeSoakConfiguration, SERVICES } from './soakConfiguration.ts';
import { SoakRunner } from './SoakRunner.ts';

/** A gateway with the links around it. */
export interface SoakGateway {
  readonly process: GatewayProcess;
  readonly storeLink: FaultLink;
  readonly peerLink: FaultLink;
  readonly callerLink: FaultLink;
}

/** A runner with the link before it, under the name that stays when another takes its place. */
export interface SoakRunnerPlace {
  readonly name: string;
  readonly link: FaultLink;
  runner: SoakRunner;
  /** Set while it leaves or is down. */
  busy: boolean;
}

/** What a fleet is made of. */
export interface SoakFleetOptions {
  readonly seed: number;
  readonly gateways: number;
  /** Path of the gateway's bundled program. */
  readonly program: string;
  /** Where settings and logs of the processes lie. */
  readonly folder: string;
  readonly checker: PromiseChecker;
  readonly history: FaultHistory;
}

/** A version that the store holds, and since when. */
export interface HeldVersion {
  readonly version: number;
  readonly acknowledgedAt: number;
}

const DOMAINS = ['a', 'b', 'c'];
const RUNNERS = [SERVICES.plain, SERVICES.plain, SERVICES.other, SERVICES.other];
const ENGINES_PER_GATEWAY = 1;
const LEAST_ENGINES = 4;
const SLOTS = 6;
/** Versions increase in uneven steps. */
const MOST_VERSION_STEP = 4;
/** Offset of the addresses at which a gateway's peer port is reached through its link. */
const LINK_OFFSET = 120;
const FIRST_VERSION = 3;
/** Time for which a leaving runner goes on serving; a little over what is promised. */
const DRAIN_MS = 2_600;

/** The gateways, runners and the store of one soak, with the links between them. */
export class SoakFleet {
  readonly store: ObjectStoreStandIn;

  readonly gateways: SoakGateway[] = [];

  readonly runners: SoakRunnerPlace[] = [];

  readonly versions: HeldVersion[] = [];

  readonly #owner: Owner;

  readonly #options: SoakFleetOptions;

  /** Chances of the stand-ins, by the seed. */
  readonly fraction: () => number;

  #born = 0;

  private constructor(owner: Owner, options: SoakFleetOptions, store: ObjectStoreStandIn) {
    this.#owner = owner;
    this.#options = options;
    this.store = store;
    const generator = xoroshiro128plus(options.seed + 1);
    this.fraction = () => uniformFloat64(generator);
  }

  /** Starts the store, the runners and every gateway, and writes the first configuration. */
  static async start(owner: Owner, options: SoakFleetOptions): Promise<SoakFleet> {
    const store = await startObjectStore(owner);
    const fleet = new SoakFleet(owner, options, store);
    const engines = Math.max(LEAST_ENGINES, options.gateways * ENGINES_PER_GATEWAY);
    const services = [...RUNNERS, ...Array.from({ length: engines }, () => SERVICES.model)];
    for (const [index, service] of services.entries()) await fleet.#addRunner(index, service);
    for (let index = 0; index < options.gateways; index += 1) await fleet.#addGateway(index);
    fleet.changeConfiguration();
    fleet.gateways.forEach(({ process }) => process.start());
    return fleet;
  }

  /** Address through which a gateway's caller port is reached. */
  through(address: string): string {
    return (
      this.gateways.find(({ process }) => process.callers === address)?.callerLink.address ??
      address
    );
  }

  /** Writes the next version. */
  changeConfiguration(): void {
    const last = this.versions.at(-1)?.version ?? FIRST_VERSION;
    const version = last + 1 + Math.floor(this.fraction() * MOST_VERSION_STEP);
    const all = [...this.versions.map((held) => held.version), version];
    this.store.put('config', 'main', makeSoakConfiguration(all));
    this.versions.push({ version, acknowledgedAt: performance.now() });
  }

  /** Ends a runner without a word; a new one takes its place. */
  async crash(place: SoakRunnerPlace, downMs: number, wait: (ms: number) => Promise<void>) {
    place.runner.crash();
    await wait(downMs);
    this.store.remove('servers', place.runner.id);
    await this.#fill(place);
  }

  /**
   * Lets a runner leave as the platform does on a release, and starts the one after it. Some runners never
   * report that they drain: their entry is removed, and they serve on for the same time.
   */
  async replace(
    place: SoakRunnerPlace,
    reportsDraining: boolean,
    wait: (ms: number) => Promise<void>,
  ): Promise<void> {
    const leaving = place.runner;
    const { address } = place.link;
    if (reportsDraining)
      this.store.put('servers', leaving.id, this.#specOf(leaving, address, 'draining'));
    else this.store.remove('servers', leaving.id);
    this.#options.checker.draining(leaving.id, performance.now());
    await wait(DRAIN_MS);
    leaving.crash();
    if (reportsDraining) this.store.remove('servers', leaving.id);
    await this.#fill(place);
  }

  async #addRunner(index: number, service: string): Promise<void> {
    const name = `${service}-${index}`;
    const place: Partial<SoakRunnerPlace> & { name: string } = { name, busy: false };
    const link = await FaultLink.start(this.#owner, () => place.runner?.address ?? '127.0.0.1:1');
    const whole: SoakRunnerPlace = Object.assign(place, {
      link,
      busy: false,
      runner: await this.#startRunner(name, service),
    });
    this.runners.push(whole);
    this.#register(whole);
  }

  async #fill(place: SoakRunnerPlace): Promise<void> {
    // The play may have ended since the place was emptied.
    if (!place.link.isOpen) return;
    // The place keeps its link and its address; the runner there is another.
    Object.assign(place, { runner: await this.#startRunner(place.name, place.runner.service) });
    this.#register(place);
  }

  #startRunner(name: string, service: string): Promise<SoakRunner> {
    const { checker } = this.#options;
    this.#born += 1;
    return SoakRunner.start(this.#owner, {
      id: `${name}-${this.#born}`,
      service,
      slots: SLOTS,
      fraction: this.fraction,
      onArrival: (arrival) => checker.arrived(arrival),
      onRun: (arrival) => checker.ran(arrival),
      onRunOver: (arrival, at) => checker.runOver(arrival, at),
      onLimitStated: (arrival, rate, at) => checker.limitStated(arrival, rate, at),
    });
  }

  #register({ runner, link }: SoakRunnerPlace): void {
    this.store.put('servers', runner.id, this.#specOf(runner, link.address, 'ready'));
  }

  #specOf({ service, slots }: SoakRunner, address: string, state: string) {
    return {
      service,
      address,
      zone: 'a',
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      seq: 1,
      born: this.#born,
    };
  }

  async #addGateway(index: number): Promise<void> {
    const { gateways, program, folder, history, checker } = this.#options;
    const network = loopbackNetwork();
    const addressOf = (at: number): string => `${network}.${at + 1}`;
    const linkAddressOf = (at: number): string => `${network}.${LINK_OFFSET + at + 1}`;
    const ip = addressOf(index);
    const storeLink = await FaultLink.start(this.#owner, () =>
      this.store.address.slice('http://'.length),
    );
    const peerLink = await FaultLink.start(
      this.#owner,
      () => `${ip}:${PORTS.peers}`,
      `${linkAddressOf(index)}:${PORTS.peers}`,
    );
    const callerLink = await FaultLink.start(this.#owner, () => `${ip}:${PORTS.front}`);
    const others = Array.from({ length: gateways }, (_, at) => at).filter((at) => at !== index);
    this.gateways.push({
      storeLink,
      peerLink,
      callerLink,
      process: new GatewayProcess(this.#owner, {
        index,
        ip,
        failureDomain: DOMAINS[index % DOMAINS.length] ?? 'a',
        peerAddress: peerLink.address,
        seeds: others.slice(0, 3).map(linkAddressOf),
        storeAddress: storeLink.address,
        program,
        folder,
        onUnexpectedEnd: (detail) => {
          history.begin({
            kind: 'unplanned',
            what: `ended by itself: ${detail}`,
            gateway: `${ip}:${PORTS.front}`,
            from: performance.now(),
          });
          checker.processEnded(detail, performance.now());
        },
      }),
    });
  }
}
