import type { OrderOutcome } from '../../protocol/engine/EngineOrder.ts';
import { decodeFencing, decodeVersions } from '../../protocol/engine/engineResponses.ts';
import type { WholeOutcome } from '../http/index.ts';

const answeredOutcome = (status: number, text: string): OrderOutcome => {
  if (status === 409) {
    const fencing = decodeFencing(text)?.fencing;
    return fencing === undefined
      ? { _tag: 'refused', detail: 'status 409 without a fencing number' }
      : { _tag: 'fenced', fencing };
  }
  if (status >= 500) return { _tag: 'unsettled', detail: `status ${status}` };
  if (status !== 200) return { _tag: 'refused', detail: `status ${status}` };
  const versions = decodeVersions(text)?.versions;
  return versions === undefined
    ? { _tag: 'unsettled', detail: 'answer is unreadable' }
    : { _tag: 'accepted', versions };
};

/**
 * Says what an engine made of an order.
 *
 * @param outcome - what became of the HTTP request
 * @returns the order's outcome; `refused` only where the engine surely did not act on it
 */
export const orderOutcome = (outcome: WholeOutcome): OrderOutcome => {
  switch (outcome._tag) {
    case 'answered':
      return answeredOutcome(outcome.status, outcome.text);
    case 'refused':
      return { _tag: 'refused', detail: outcome.detail };
    case 'lost':
      return { _tag: 'unsettled', detail: outcome.detail };
    default:
      return outcome satisfies never;
  }
};
