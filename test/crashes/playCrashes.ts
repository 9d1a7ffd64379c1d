import * as http from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { makeSoakConfiguration, SERVICES, SOAK_HOST } from '../soak/soakConfiguration.ts';
import { CONTACT_MS, GatewayFleet } from '../support/GatewayFleet.ts';
import type { Owner } from '../support/Owner.ts';
import { makeCrashDisturbance, type CrashDisturbance } from './CrashDisturbance.ts';
import { CrashingEndpoint, EVENTS } from './CrashingEndpoint.ts';

/** One play. */
export interface CrashPlay {
  readonly seed: number;
  readonly gateways: number;
  readonly engines: number;
  readonly disturbance: CrashDisturbance;
  /** Time in which requests are sent, in ms. */
  readonly trafficMs: number;
  /** Requests a second whose prompts crash engines. */
  readonly fatalRate: number;
  /** Parts under which engines crash. */
  readonly fatalParts: readonly string[];
  /** Share of the answers that engines break off inside an event. */
  readonly tornShare: number;
  /** Path of the gateway's bundled program. */
  readonly program: string;
  readonly folder: string;
}

/** What came of a play. */
export interface CrashResult {
  readonly crashes: number;
  /** Requests with each fatal part that reached engines after its bound, in the order of the parts. */
  readonly arrivalsAfterBound: readonly number[];
  /** Share of sound requests whose answer began at the first attempt, before the first crash. */
  readonly soundShareBefore: number;
  /** The same from twice the contact time after the fifth crash of each part. */
  readonly soundShareAfter: number;
  readonly soundCountAfter: number;
  /** Answers that their callers saw end as complete without all events. */
  readonly falselyComplete: number;
}

const BOUND_CRASHES = 5;
const CALM_MS = 3_000;
const SOUND_RATE = 25;
const DOCUMENTS = 15;
const DOWN_MS = 2_500;
const DEADLINE_MS = 4_000;
const KEY = 'key-of-the-office';
const FIRST_PART = 'f1f1f1f1';

interface Sent {
  readonly gateway: number;
  readonly part: string;
  readonly at: number;
  /** Undefined until the answer began or ended without. */
  begun: boolean | undefined;
}

const shareOf = (sent: readonly Sent[]): number =>
  sent.length === 0 ? 0 : sent.filter(({ begun }) => begun).length / sent.length;

/**
 * Plays gateways as processes before engines that crash under some prompts, among sound requests that
 * share the account and the other parts of these prompts.
 *
 * @param owner - ends all that was started
 * @param play - sizes, rates and what else happens
 * @returns what reached the engines, and how sound requests fared
 */
export const playCrashes = async (owner: Owner, play: CrashPlay): Promise<CrashResult> => {
  const { gateways: size, engines, disturbance, fatalParts, folder, program } = play;
  const generator = xoroshiro128plus(play.seed);
  const fraction = (): number => uniformFloat64(generator);
  const fleet = await GatewayFleet.start(owner, {
    size,
    configuration: makeSoakConfiguration([5]),
    program,
    folder,
  });
  const { store } = fleet;
  const sent = new Map<string, Sent>();
  const arrivals: { readonly sent: Sent; readonly at: number }[] = [];
  const crashes: number[] = [];
  const crashesByPart = new Map<string, number[]>(fatalParts.map((part) => [part, []]));
  const onCrash = { disturb: (_count: number): void => {} };

  for (let index = 0; index < engines; index += 1) {
    let lastArrivals: string[] = [];
    await CrashingEndpoint.start(owner, {
      name: `engine-${index}`,
      service: SERVICES.model,
      store,
      streams: true,
      isFatal: ({ promptParts }) => promptParts.some((part) => fatalParts.includes(part)),
      downMs: DOWN_MS,
      tornShare: play.tornShare,
      fraction,
      onArrival: ({ requestId, at }) => {
        const request = sent.get(requestId);
        if (request === undefined) return;
        arrivals.push({ sent: request, at });
        lastArrivals = [...lastArrivals.slice(-20), requestId];
      },
      onCrash: (at) => {
        crashes.push(at);
        // The first fatal request of this start is the one that crashed it.
        const culprit = lastArrivals.find((id) => fatalParts.includes(sent.get(id)?.part ?? ''));
        lastArrivals = [];
        if (culprit !== undefined) crashesByPart.get(sent.get(culprit)?.part ?? '')?.push(at);
        onCrash.disturb(crashes.length);
      },
    });
  }
  onCrash.disturb = makeCrashDisturbance(owner, fleet, disturbance);

  let count = 0;
  let falselyComplete = 0;
  const agent = new http.Agent({ keepAlive: true });
  owner.after(() => agent.destroy());
  const send = (part: string): void => {
    const gateway = Math.floor(fraction() * size);
    count += 1;
    const id = `crash-${play.seed}-${count}`;
    const request: Sent = { gateway, part, at: performance.now(), begun: undefined };
    sent.set(id, request);
    const call = http.request({
      ...fleet.callerAddress(gateway),
      path: `/resumed/${id}`,
      method: 'POST',
      agent,
      headers: {
        host: SOAK_HOST,
        'x-corianderwick-request-id': id,
        'x-corianderwick-key': KEY,
        'x-corianderwick-deadline-ms': String(DEADLINE_MS),
        'x-corianderwick-token-count': '300,40',
        'x-corianderwick-prompt-prefix': `${FIRST_PART}:60,${part}:120,${count.toString(16)}aa:120`,
      },
    });
    call.setTimeout(DEADLINE_MS, () => call.destroy());
    call.on('error', () => {
      request.begun ??= false;
    });
    call.on('response', (response) => {
      let text = '';
      response.on('error', () => {});
      response.on('data', (bytes: Buffer) => {
        request.begun ??= response.statusCode === 200;
        text += bytes.toString('latin1');
      });
      response.on('close', () => {
        request.begun ??= false;
        const events = text.split('\n\n').length - 1;
        if (response.complete && response.statusCode === 200 && events !== EVENTS)
          falselyComplete += 1;
      });
    });
    call.end('prompt');
  };
  const sendAtRate = (rate: number, part: () => string, untilAt: number): void => {
    const pauseMs = (-Math.log(1 - fraction()) * 1_000) / rate;
    setTimeout(() => {
      if (performance.now() > untilAt) return;
      send(part());
      sendAtRate(rate, part, untilAt);
    }, pauseMs);
  };
  const pick = (values: readonly string[]): string =>
    values[Math.floor(fraction() * values.length)] ?? '';
  const documents = Array.from({ length: DOCUMENTS }, (_, index) => `d0c${index.toString(16)}`);

  const startedAt = performance.now();
  const endsAt = startedAt + CALM_MS + play.trafficMs;
  sendAtRate(SOUND_RATE, () => pick(documents), endsAt);
  await wait(CALM_MS);
  const fatalFrom = performance.now();
  sendAtRate(play.fatalRate, () => pick(fatalParts), endsAt);
  await wait(play.trafficMs);
  await wait(DEADLINE_MS);

  const boundOf = (part: string): number =>
    (crashesByPart.get(part)?.[BOUND_CRASHES - 1] ?? Number.POSITIVE_INFINITY) + CONTACT_MS;
  const lastCounted = Math.max(
    ...fatalParts.map((part) => {
      const times = crashesByPart.get(part) ?? [];
      return times[Math.min(BOUND_CRASHES, times.length) - 1] ?? fatalFrom;
    }),
  );
  const sound = [...sent.values()].filter(({ part }) => documents.includes(part));
  const soundAfter = sound.filter(
    ({ at, gateway }) => at > lastCounted + 2 * CONTACT_MS && fleet.isInTouch(gateway, at),
  );
  return {
    crashes: crashes.length,
    arrivalsAfterBound: fatalParts.map(
      (part) =>
        arrivals.filter(
          ({ sent: request, at }) =>
            request.part === part && at > boundOf(part) && fleet.isInTouch(request.gateway, at),
        ).length,
    ),
    soundShareBefore: shareOf(sound.filter(({ at }) => at < fatalFrom - 500)),
    soundShareAfter: shareOf(soundAfter),
    soundCountAfter: soundAfter.length,
    falselyComplete,
  };
};
