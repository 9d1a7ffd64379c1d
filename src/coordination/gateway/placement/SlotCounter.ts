import { endpointStartOf } from '../../../state/gateway/index.ts';
import type { EndpointLimits } from '../limits/EndpointLimits.ts';
import type { EngineGroup } from './EngineGroup.ts';
import type { EngineLoad } from './EngineLoad.ts';
import type { WaitingPlacement } from './orderQueue.ts';

const MS_PER_SECOND = 1_000;
/** Lower bound that keeps the expected wait finite. */
const MINIMUM_SLOTS = 1e-4;

/** Part of the engine slots that a scheduler may use; other processes use the rest. */
export interface SlotAllocation {
  /** Fraction of each engine's slots, from 0 to 1. */
  readonly share: number;
}

/** Counts the slots of engines that a scheduler may use, within its share and the limits that engines state. */
export class SlotCounter {
  readonly #limits: EndpointLimits;

  #allocation: SlotAllocation = { share: 1 };

  /** @param limits - rates of requests that endpoints accept */
  constructor(limits: EndpointLimits) {
    this.#limits = limits;
  }

  /** Sets the fraction of each endpoint's slots that may be used. */
  setAllocation(allocation: SlotAllocation): void {
    this.#allocation = allocation;
  }

  /**
   * Counts the slots of one engine.
   *
   * @param engine - the engine
   * @param now - current time, in ms
   * @returns number of requests that it may run at once
   */
  ofEngine({ record }: EngineLoad, now: number): number {
    const slots = Math.max(1, Math.floor(record.slots * this.#allocation.share));
    return this.#limits.isEmpty
      ? slots
      : this.#limits.slotLimit(endpointStartOf(record), slots, now);
  }

  /**
   * Counts the slots of a group. An endpoint that limits the rate of its requests counts with the slots that
   * requests at this rate hold.
   *
   * @param group - the engines
   * @param waiting - the requests that wait for them
   * @param now - current time, in ms
   * @returns number of slots, not necessarily whole
   */
  ofGroup(group: EngineGroup, waiting: readonly WaitingPlacement[], now: number): number {
    const { engines } = group;
    if (this.#limits.isEmpty || waiting.length === 0)
      return Math.max(
        1,
        engines.reduce((sum, engine) => sum + this.ofEngine(engine, now), 0),
      );
    const holdMs = waiting.map(({ ticket }) => group.forecast(ticket).slotHoldMs);
    const meanHoldMs = holdMs.reduce((sum, value) => sum + value, 0) / waiting.length;
    const slots = engines.reduce((sum, engine) => {
      const rate = this.#limits.rateOf(endpointStartOf(engine.record), now);
      return sum + Math.min(this.ofEngine(engine, now), (rate * meanHoldMs) / MS_PER_SECOND);
    }, 0);
    return Math.max(MINIMUM_SLOTS, slots);
  }
}
