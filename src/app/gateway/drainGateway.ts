import type { Logger } from 'pino';
import type { GatewayServer } from '../../transport/gateway/index.ts';
import type { Gateway } from './Gateway.ts';
import type { PeerGroup } from './PeerGroup.ts';

/** Components and time limit of a graceful stop. */
export interface DrainOptions {
  readonly gateway: Gateway;
  readonly server: GatewayServer;
  readonly group: PeerGroup;
  readonly logger: Logger;
  /** Time after which the platform kills the process. */
  readonly graceMs: number;
  /** Present time in ms, monotonic. */
  readonly now: () => number;
}

const CHECK_INTERVAL_MS = 25;
/** Time after the start of a drain from which idle connections are closed. */
const CLOSE_IDLE_AFTER_MS = 2_000;
/** Margin by which requests are ended before the platform kills the process. */
const GRACE_MARGIN_MS = 350;
/** Time of that margin for the answers to reach callers that read slowly. */
const SENDING_MS = 250;

/**
 * Stops a gateway gracefully: the instance withdraws from the list of addresses, requests in flight
 * are completed, and those that outlast the grace period get a final answer that states what is known.
 *
 * @param options - the components to stop and the grace period
 * @returns a promise that resolves when the process may exit
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
    const startedAt = now();
    logger.info({ inFlight: gateway.inFlight }, 'gateway is draining');
    gateway.drain(startedAt + graceMs - GRACE_MARGIN_MS);
    server.startDraining();
    group.drain(startedAt);
    let accepting = true;
    const timer = setInterval(() => {
      const elapsedMs = now() - startedAt;
      const mayCloseIdle = elapsedMs > CLOSE_IDLE_AFTER_MS;
      if (mayCloseIdle) server.closeIdle();
      const isIdle = mayCloseIdle && gateway.inFlight === 0 && server.connections() === 0;
      const isGraceOver = elapsedMs > graceMs - GRACE_MARGIN_MS;
      if (!isGraceOver && !isIdle) return;
      if (!isGraceOver && accepting) {
        // The next check counts a connection that was accepted just before; none is accepted after this.
        accepting = false;
        server.stopAccepting();
        return;
      }
      clearInterval(timer);
      const endedAt = now();
      server.refuseUnread();
      if (gateway.inFlight > 0) {
        logger.warn(
          { inFlight: gateway.inFlight },
          'drain grace period expired; ending requests in flight',
        );
        gateway.abortAll();
      }
      group.leave(now());
      logger.info({ afterMs: Math.round(elapsedMs) }, 'gateway stopped');
      const sending = setInterval(() => {
        if (server.isSending() && now() - endedAt < SENDING_MS) return;
        clearInterval(sending);
        resolve();
      }, CHECK_INTERVAL_MS);
    }, CHECK_INTERVAL_MS);
  });
