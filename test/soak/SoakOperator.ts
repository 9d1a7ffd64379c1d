import { setTimeout as wait } from 'node:timers/promises';
import type { EndpointLinks } from './GatewayProcess.ts';
import type { StoreCondition } from '../gateway/startObjectStore.ts';
import type { FaultHistory } from './FaultHistory.ts';
import type { LinkCondition } from './Lane.ts';
import type { SoakAction } from './planSoak.ts';
import type { SoakFleet, SoakGateway, SoakRunnerPlace } from './SoakFleet.ts';

const SLOW_STORE_MS = 700;
const DELAY_MS = 120;
/** How often gateways look whether their settings file has changed. */
const SETTINGS_CHECK_MS = 2_000;

const linkCondition = (how: Extract<SoakAction, { _tag: 'harmLink' }>['how']): LinkCondition => {
  switch (how) {
    case 'delay':
      return { _tag: 'delayed', ms: DELAY_MS };
    case 'silence':
      return { _tag: 'silent', direction: 'both' };
    case 'silenceToServer':
      return { _tag: 'silent', direction: 'toServer' };
    case 'silenceToCaller':
      return { _tag: 'silent', direction: 'toCaller' };
    case 'reset':
      return { _tag: 'reset' };
    default:
      return how satisfies never;
  }
};

const storeCondition = (how: Extract<SoakAction, { _tag: 'harmStore' }>['how']): StoreCondition =>
  how === 'slow' ? { _tag: 'slow', ms: SLOW_STORE_MS } : { _tag: how };

/** Does to a fleet what a plan says. */
export class SoakOperator {
  readonly #fleet: SoakFleet;

  readonly #history: FaultHistory;

  constructor(fleet: SoakFleet, history: FaultHistory) {
    this.#fleet = fleet;
    this.#history = history;
  }

  /** Does one thing, and resolves when it is over. */
  async perform(action: SoakAction): Promise<void> {
    switch (action._tag) {
      case 'killGateways':
        await Promise.all(
          [...new Set(action.gateways)].map((index) => this.#kill(index, action.downMs)),
        );
        return;
      case 'stopGateway':
        await this.#stop(action.gateway, action.downMs);
        return;
      case 'pauseGateway': {
        const gateway = this.#gateway(action.gateway);
        await this.#during('unplanned', 'paused', gateway, async () => {
          gateway.process.pause();
          await wait(action.forMs);
          gateway.process.resume();
        });
        return;
      }
      case 'changeSettings': {
        const gateway = this.#gateway(action.gateway);
        await this.#during('planned', 'settings changed', gateway, async () => {
          gateway.process.writeSettings(gateway.process.starts + 1);
          if (action.signalled) gateway.process.hangUp();
          await wait(SETTINGS_CHECK_MS);
        });
        return;
      }
      case 'harmLink':
        await this.#harmLink(action);
        return;
      case 'harmStore':
        await this.#during('unplanned', `store ${action.how}`, undefined, async () => {
          this.#fleet.store.setCondition(storeCondition(action.how));
          await wait(action.forMs);
          this.#fleet.store.setCondition({ _tag: 'sound' });
        });
        return;
      case 'compactStore':
        this.#fleet.store.compact();
        return;
      case 'crashRunner':
        await this.#withRunner(action.runner, 'crashed', (place) =>
          this.#fleet.crash(place, action.downMs, wait),
        );
        return;
      case 'replaceRunner': {
        const place = this.#place(action.runner);
        if (place.busy) return;
        place.busy = true;
        await this.#during('planned', `${place.name} replaced`, undefined, () =>
          this.#fleet.replace(place, action.reportsDraining, wait),
        );
        place.busy = false;
        return;
      }
      case 'harmRunner':
        await this.#withRunner(action.runner, action.how, async ({ runner }) => {
          runner.setHarm(action.how);
          await wait(action.forMs);
          runner.setHarm(undefined);
        });
        return;
      case 'limitRunner': {
        const { name, runner } = this.#place(action.runner);
        const rate = action.requestsPerSecond;
        await this.#during('planned', `${name} limited to ${rate}`, undefined, async () => {
          runner.setLimit(rate);
          await wait(action.forMs);
          runner.setLimit(undefined);
        });
        return;
      }
      case 'cutGateways':
        await Promise.all(
          action.gateways.map((index) => this.#cut(index, action.links, action.forMs)),
        );
        return;
      case 'changeConfiguration':
        this.#fleet.changeConfiguration();
        return;
      default:
        action satisfies never;
    }
  }

  #gateway(index: number): SoakGateway {
    const { gateways } = this.#fleet;
    return gateways[index % gateways.length] as SoakGateway;
  }

  #place(index: number): SoakRunnerPlace {
    const { runners } = this.#fleet;
    return runners[index % runners.length] as SoakRunnerPlace;
  }

  async #kill(index: number, downMs: number): Promise<void> {
    const gateway = this.#gateway(index);
    if (!gateway.process.runs) return;
    await this.#during('unplanned', 'killed', gateway, async () => {
      await gateway.process.kill();
      await wait(downMs);
      gateway.process.start();
    });
  }

  async #cut(index: number, links: EndpointLinks, forMs: number): Promise<void> {
    const gateway = this.#gateway(index);
    // Runs of others may wait for slots that a cut gateway holds.
    await this.#during(
      'unplanned',
      `${gateway.process.callers} cut: ${links}`,
      undefined,
      async () => {
        gateway.process.setEndpointLinks(links);
        await wait(forMs);
        gateway.process.setEndpointLinks('clear');
      },
    );
  }

  async #stop(index: number, downMs: number): Promise<void> {
    const gateway = this.#gateway(index);
    if (!gateway.process.runs) return;
    await this.#during('planned', 'stopped', gateway, () => gateway.process.stop());
    await this.#during('unplanned', 'down', gateway, async () => {
      await wait(downMs);
      gateway.process.start();
    });
  }

  async #harmLink({
    link,
    index,
    how,
    forMs,
  }: Extract<SoakAction, { _tag: 'harmLink' }>): Promise<void> {
    const gateway = this.#gateway(index);
    const harmed = {
      store: gateway.storeLink,
      peers: gateway.peerLink,
      callers: gateway.callerLink,
      runner: this.#place(index).link,
    }[link];
    // A lost runner, or a peer that isn't reached, shows at every gateway.
    const concerned = link === 'store' || link === 'callers' ? gateway : undefined;
    await this.#during('unplanned', `${link} link ${how}`, concerned, async () => {
      harmed.setCondition(linkCondition(how));
      await wait(forMs);
      harmed.setCondition({ _tag: 'clear' });
    });
  }

  async #withRunner(
    index: number,
    what: string,
    harm: (place: SoakRunnerPlace) => Promise<void>,
  ): Promise<void> {
    const place = this.#place(index);
    if (place.busy) return;
    place.busy = true;
    await this.#during('unplanned', `${place.name} ${what}`, undefined, () => harm(place));
    place.busy = false;
  }

  async #during(
    kind: 'planned' | 'unplanned',
    what: string,
    gateway: SoakGateway | undefined,
    work: () => Promise<void>,
  ): Promise<void> {
    const entry = this.#history.begin({
      kind,
      what,
      gateway: gateway?.process.callers,
      from: performance.now(),
    });
    await work();
    entry.to = performance.now();
  }
}
