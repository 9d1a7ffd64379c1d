import { describe, it } from 'node:test';
import { expect } from 'earl';
import { useGatewayProgram } from '../support/useGatewayProgram.ts';
import { keepsReach } from './keepsReach.ts';
import { playReach, type ReachPlay } from './playReach.ts';

const PLAYS: readonly (Pick<ReachPlay, 'seed' | 'cut' | 'links' | 'disturbance'> & {
  readonly name: string;
})[] = [
  {
    seed: 1,
    name: 'half of them, whose connections hang, while an endpoint is silent',
    cut: [1, 3],
    links: 'silent',
    disturbance: { _tag: 'endpointsSilent', forMs: 1_000 },
  },
  {
    seed: 2,
    name: 'all but one, the scheduler among them, whose connections are reset',
    cut: [0, 1, 2],
    links: 'reset',
    disturbance: { _tag: 'none' },
  },
];

describe('gateways of which some are cut from all endpoints', () => {
  const paths = useGatewayProgram();

  PLAYS.forEach(({ name, ...play }) => {
    // Guards against callers that are refused because their gateway has lost its links (RECOVER), and against
    // endpoints that all gateways avoid because one of them doesn't reach them.
    it(`serve requests at all of them: ${name}`, async (context) => {
      const whole = {
        ...play,
        gateways: 4,
        endpoints: 3,
        rate: 8,
        cutMs: 7_000,
        ...paths,
      };
      const result = await playReach(context, whole);
      console.log(JSON.stringify(result));
      expect(keepsReach(whole, result)).toEqual(true);
    });
  });
});
