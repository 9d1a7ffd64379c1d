import { describe, it } from 'node:test';
import { expect } from 'earl';
import type { Owner } from '../support/Owner.ts';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { keepsRests } from './keepsRests.ts';
import { playRests, type RestShape } from './playRests.ts';

describe('gateways before endpoints that state what they want', () => {
  const paths = useGatewayProgram();

  const play = async (owner: Owner, seed: number, shape: RestShape): Promise<boolean> => {
    const whole = {
      seed,
      gateways: 3,
      endpoints: 3,
      shape,
      disturbance: { _tag: 'none' },
      rate: 30,
      askingMs: 9_000,
      ...paths,
    } as const;
    const result = await playRests(owner, whole);
    console.log(JSON.stringify(result));
    return keepsRests(whole, result);
  };

  // Guards against requests to an endpoint that has asked their gateway for rest (BUDGET).
  it('leave one alone that asks for rest, and use the others', async (context) => {
    expect(await play(context, 1, { _tag: 'resting', endpoints: 1, restSeconds: 3 })).toEqual(true);
  });

  // Guards against requests to an endpoint that has said in an answer that it leaves (DRAIN).
  it('send no more requests to one that leaves, and some to its next start', async (context) => {
    expect(await play(context, 2, { _tag: 'leaving' })).toEqual(true);
  });
});
