import pino from 'pino';
import type { Logger } from 'pino';

/** Bytes that are buffered for a slow log reader before lines are dropped. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;
/** Longest time for which a line is buffered. */
const FLUSH_INTERVAL_MS = 250;
/** Buffered bytes at which lines are written without waiting for the interval. */
const FLUSH_THRESHOLD_BYTES = 4_096;

/** A logger that never blocks and drops lines if its reader is too slow. */
export interface GatewayLog {
  readonly logger: Logger;
  /** Returns the number of lines dropped since the start. */
  readonly droppedLines: () => number;
  /** Writes the buffered lines synchronously; call it right before the process exits. */
  readonly flush: () => void;
}

/**
 * Creates the log of a gateway, which writes JSON lines to standard output.
 *
 * @param instance - name of the instance, a field of every line
 * @returns the logger with its counter of dropped lines
 */
export const makeGatewayLog = (instance: string): GatewayLog => {
  let dropped = 0;
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: FLUSH_THRESHOLD_BYTES,
    maxLength: MAXIMUM_BACKLOG_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  destination.on('drop', () => {
    dropped += 1;
  });
  // A closed standard output must not end the process.
  destination.on('error', () => {
    dropped += 1;
  });
  return {
    logger: pino({ base: { instance }, timestamp: pino.stdTimeFunctions.epochTime }, destination),
    droppedLines: () => dropped,
    // The process exits right after the flush, so an asynchronous write would be lost.
    // eslint-disable-next-line n/no-sync
    flush: () => destination.flushSync(),
  };
};
