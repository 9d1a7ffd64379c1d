import { describe, it } from 'node:test';
import { expect } from 'earl';
import { GatewayMetrics } from './GatewayMetrics.ts';

const GAUGES = {
  configurationVersion: 1,
  members: 2,
  waiting: 3,
  running: 4,
  droppedLogLines: 5,
  missingEndpoints: 6,
  storeOutage: 7,
  storeEra: 1,
  quarantinedParts: 8,
  limitedEndpoints: 9,
  quarantinedRequests: 10,
  isolated: 11,
  excludedEndpoints: 12,
};

const toMetricName = (name: string): string =>
  `corianderwick_gateway_${name.replaceAll(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)}`;

describe('GatewayMetrics', () => {
  // Guards against a gauge that is documented and stays 0.
  it('renders the present value of each gauge', async () => {
    const text = await new GatewayMetrics().render(GAUGES);
    Object.entries(GAUGES).forEach(([name, value]) =>
      expect(text.includes(`\n${toMetricName(name)} ${value}\n`)).toEqual(true),
    );
  });
});
