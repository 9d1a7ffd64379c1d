import pino from 'pino';
import type { Logger } from 'pino';
import type { EntrySettings } from '../state/EntrySettings.ts';

/**
 * Makes the process's logger: one JSON object per line on standard output.
 *
 * @param settings - the level to log at
 * @param name - what to call this process in its lines
 * @returns the logger
 */
export const createLogger = (settings: Pick<EntrySettings, 'logLevel'>, name: string): Logger =>
  pino({ name, level: settings.logLevel, base: { name, pid: process.pid } });
