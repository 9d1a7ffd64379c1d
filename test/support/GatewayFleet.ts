import * as http from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { startObjectStore, type ObjectStoreStandIn } from '../gateway/startObjectStore.ts';
import { FaultLink } from '../soak/FaultLink.ts';
import { GatewayProcess, PORTS, type EndpointLinks } from '../soak/GatewayProcess.ts';
import type { LinkCondition } from '../soak/Lane.ts';
import { callHttp } from './callHttp.ts';
import { loopbackNetwork } from './loopbackNetwork.ts';
import type { Owner } from './Owner.ts';

/** What a fleet is made of. */
export interface GatewayFleetOptions {
  readonly size: number;
  /** What the operator has written before the gateways start. */
  readonly configuration: Record<string, unknown>;
  /** Path of the gateway's bundled program. */
  readonly program: string;
  /** Where settings and logs of the processes lie. */
  readonly folder: string;
}

/** The platform's `contact_ms`: by then all gateways that aren't disturbed know of each other's findings. */
export const CONTACT_MS = 3_000;
const READY_TIMEOUT_MS = 60_000;
const RESTART_MS = 600;
const DOMAINS = ['a', 'b', 'c'];
/** Offset of the addresses at which a gateway's peer port is reached through its link. */
const LINK_OFFSET = 120;

const isReady = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const request = http.get(`http://${address}/api/readyz`, { agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    request.on('error', () => resolve(false));
  });

const readMetrics = (address: string): Promise<string> =>
  callHttp(`http://${address}/metrics`).then(
    ({ body }) => body,
    () => '',
  );

/** Gateways as processes before one store, with the links between them. The first one is the scheduler. */
export class GatewayFleet {
  readonly store: ObjectStoreStandIn;

  readonly #network = loopbackNetwork();

  readonly #gateways: GatewayProcess[] = [];

  readonly #peerLinks: FaultLink[] = [];

  readonly #disturbedAt = new Map<number, number[]>();

  private constructor(store: ObjectStoreStandIn) {
    this.store = store;
  }

  /**
   * Starts a store and the gateways, one after the other.
   *
   * @param owner - ends all that was started
   * @param options - what the fleet is made of
   * @returns the fleet, once all gateways are ready
   */
  static async start(
    owner: Owner,
    { size, configuration, program, folder }: GatewayFleetOptions,
  ): Promise<GatewayFleet> {
    const store = await startObjectStore(owner);
    const fleet = new GatewayFleet(store);
    store.put('config', 'main', configuration);
    for (let index = 0; index < size; index += 1) {
      const peerAddress = `${fleet.#ipOf(index + LINK_OFFSET)}:${PORTS.peers}`;
      fleet.#peerLinks.push(
        await FaultLink.start(owner, () => `${fleet.#ipOf(index)}:${PORTS.peers}`, peerAddress),
      );
      fleet.#gateways.push(
        new GatewayProcess(owner, {
          index,
          ip: fleet.#ipOf(index),
          failureDomain: DOMAINS[index % DOMAINS.length] ?? 'a',
          peerAddress,
          seeds: [0, 1, 2]
            .filter((other) => other !== index && other < size)
            .map((other) => fleet.#ipOf(other + LINK_OFFSET)),
          storeAddress: store.address.slice('http://'.length),
          program,
          folder,
          onUnexpectedEnd: (detail) => {
            throw new Error(detail);
          },
        }),
      );
    }
    const readyUntil = performance.now() + READY_TIMEOUT_MS;
    for (const gateway of fleet.#gateways) {
      gateway.start();
      // One after the other, so that the first one is the scheduler.
      while (!(await isReady(gateway.readiness))) {
        if (performance.now() > readyUntil) throw new Error(`${gateway.callers} doesn't get ready`);
        await wait(50);
      }
    }
    return fleet;
  }

  /** Number of gateways. */
  get size(): number {
    return this.#gateways.length;
  }

  /** Host and port at which a gateway takes callers' requests. */
  callerAddress(index: number): { readonly host: string; readonly port: number } {
    return { host: this.#ipOf(index), port: PORTS.front };
  }

  /** Changes what happens to the connections of a gateway to endpoints. */
  setEndpointLinks(index: number, links: EndpointLinks): void {
    this.#gateways[index]?.setEndpointLinks(links);
  }

  /** Sums the values of a metric over all gateways that answer. */
  async sumMetric(name: string): Promise<number> {
    const texts = await Promise.all(this.#gateways.map(({ metrics }) => readMetrics(metrics)));
    return texts
      .flatMap((text) => text.split('\n'))
      .filter((line) => line.startsWith(name))
      .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
  }

  /** Kills a gateway and starts it again. */
  async restart(index: number): Promise<void> {
    this.#disturbed(index);
    await this.#gateways[index]?.kill();
    await wait(RESTART_MS);
    this.#gateways[index]?.start();
    this.#disturbed(index);
  }

  /** Stops a gateway with SIGTERM, as for a new release, and starts it again. */
  async release(index: number): Promise<void> {
    this.#disturbed(index);
    await this.#gateways[index]?.stop();
    this.#gateways[index]?.start();
    this.#disturbed(index);
  }

  /** Freezes a gateway for a time in ms. */
  async pause(index: number, forMs: number): Promise<void> {
    this.#gateways[index]?.pause();
    this.#disturbed(index);
    await wait(forMs);
    this.#gateways[index]?.resume();
    this.#disturbed(index);
  }

  /** Harms the connections of other gateways to one for a time in ms. */
  async harmPeerLink(index: number, condition: LinkCondition, forMs: number): Promise<void> {
    this.#peerLinks[index]?.setCondition(condition);
    this.#disturbed(index);
    await wait(forMs);
    this.#peerLinks[index]?.setCondition({ _tag: 'clear' });
    this.#disturbed(index);
  }

  /** Whether a gateway was undisturbed for the whole contact time before a moment. */
  isInTouch(index: number, at: number): boolean {
    return (this.#disturbedAt.get(index) ?? []).every(
      (disturbedAt) => at < disturbedAt || at - disturbedAt > CONTACT_MS,
    );
  }

  /** Whether a gateway was disturbed in a span of time. */
  wasDisturbed(index: number, from: number, to: number): boolean {
    return (this.#disturbedAt.get(index) ?? []).some((at) => at >= from && at <= to);
  }

  #disturbed(index: number): void {
    const times = this.#disturbedAt.get(index) ?? [];
    this.#disturbedAt.set(index, [...times, performance.now()]);
  }

  #ipOf(index: number): string {
    return `${this.#network}.${index + 1}`;
  }
}
