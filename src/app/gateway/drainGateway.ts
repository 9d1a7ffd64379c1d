import type { Logger } from 'pino';
import type { GatewayServer } from '../../transport/gateway/index.ts';
import type { Gateway } from './Gateway.ts';
import type { PeerGroup } from './PeerGroup.ts';

/** What a graceful stop deals with. */
export interface DrainOptions {
  readonly gateway: Gateway;
  readonly server: GatewayServer;
  readonly group: PeerGroup;
  readonly logger: Logger;
  /** Time after which the platform ends the process. */
  readonly graceMs: number;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

const CHECK_INTERVAL_MS = 25;
/** Time of a drain after which connections on which nothing is asked are closed. */
const CLOSE_IDLE_AFTER_MS = 2_000;
/** Time before the platform ends the process at which it ends itself. */
const GRACE_MARGIN_MS = 350;

/**
 * Stops a gateway gracefully: no new work is invited, what is in flight is served to its end, and what
 * can't end within the grace is ended truthfully.
 *
 * @param options - what is to be stopped
 * @returns a promise that resolves when the process may end
 */
export const drainGateway = ({
  gateway,
  server,
  group,
  logger,
  graceMs,
  now,
}: DrainOptions): Promise<void> =>
  new Promise((resolve) => {
    const since = now();
    logger.info({ inFlight: gateway.inFlight }, 'gateway is draining');
    gateway.drain();
    server.startDraining();
    group.drain(since);
    let accepting = true;
    const timer = setInterval(() => {
      const elapsedMs = now() - since;
      const mayCloseIdle = elapsedMs > CLOSE_IDLE_AFTER_MS;
      if (mayCloseIdle) server.closeIdle();
      const isIdle = mayCloseIdle && gateway.inFlight === 0 && server.connections() === 0;
      const isGraceOver = elapsedMs > graceMs - GRACE_MARGIN_MS;
      if (!isGraceOver && !isIdle) return;
      if (!isGraceOver && accepting) {
        // What was accepted until now is seen by the next check, and nothing comes after it.
        accepting = false;
        server.stopAccepting();
        return;
      }
      clearInterval(timer);
      if (gateway.inFlight > 0) {
        logger.warn({ inFlight: gateway.inFlight }, 'grace is over; ending what is in flight');
        gateway.abortAll();
      }
      group.leave(now());
      logger.info({ afterMs: Math.round(elapsedMs) }, 'gateway stopped');
      setTimeout(resolve, CHECK_INTERVAL_MS);
    }, CHECK_INTERVAL_MS);
  });
