import pino from 'pino';
import type { Logger } from 'pino';

/** Bytes that wait for a reader of the log before lines are dropped. */
const MAXIMUM_BACKLOG_BYTES = 1_048_576;
/** Lines are written together, at the latest after this time. */
const FLUSH_INTERVAL_MS = 250;
const BUFFER_BYTES = 4_096;

/** A logger that never blocks, and the number of lines that it had to drop. */
export interface GatewayLog {
  readonly logger: Logger;
  readonly droppedLines: () => number;
  /** Writes what is buffered, at the end of the process. */
  readonly flush: () => void;
}

/**
 * Makes the log of a gateway: JSON lines on standard output. Where its reader is too slow, lines are
 * dropped and counted.
 *
 * @param instance - name of the instance, in every line
 * @returns the log
 */
export const makeGatewayLog = (instance: string): GatewayLog => {
  let dropped = 0;
  const destination = pino.destination({
    fd: 1,
    sync: false,
    minLength: BUFFER_BYTES,
    maxLength: MAXIMUM_BACKLOG_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  destination.on('drop', () => {
    dropped += 1;
  });
  // A reader that is gone must not end the process.
  destination.on('error', () => {
    dropped += 1;
  });
  return {
    logger: pino({ base: { instance }, timestamp: pino.stdTimeFunctions.epochTime }, destination),
    droppedLines: () => dropped,
    // The process ends right after it.
    // eslint-disable-next-line n/no-sync
    flush: () => destination.flushSync(),
  };
};
