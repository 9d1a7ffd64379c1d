import { describe, it } from 'node:test';
import { expect } from 'earl';
import pino from 'pino';
import type { GatewayServer } from '../../transport/gateway/index.ts';
import { drainGateway } from './drainGateway.ts';
import type { Gateway } from './Gateway.ts';
import type { PeerGroup } from './PeerGroup.ts';

const ANSWERED_AFTER_MS = 80;

describe('drainGateway', () => {
  it('serves a request that arrives just after the gateway was found idle', async () => {
    let accepting = true;
    let inFlight = 0;
    let checks = 0;
    const server: GatewayServer = {
      address: '',
      startDraining: () => {},
      closeIdle: () => {},
      refuseUnread: () => {},
      isSending: () => false,
      stopAccepting: () => {
        accepting = false;
      },
      connections: () => {
        // The connection arrives just after the drain has counted connections.
        if (checks === 0) {
          setImmediate(() => {
            if (accepting) inFlight = 1;
            setTimeout(() => {
              inFlight = 0;
            }, ANSWERED_AFTER_MS);
          });
        }
        checks += 1;
        return inFlight;
      },
    };
    const gateway = {
      drain: () => {},
      abortAll: () => {},
      get inFlight() {
        return inFlight;
      },
    };
    let time = 0;
    await drainGateway({
      gateway: gateway as unknown as Gateway,
      server,
      group: { drain: () => {}, leave: () => {} } as unknown as PeerGroup,
      logger: pino({ level: 'silent' }),
      graceMs: 60_000,
      now: () => {
        time += 2_500;
        return time;
      },
    });
    expect(inFlight).toEqual(0);
    expect(accepting).toEqual(false);
  });
});
