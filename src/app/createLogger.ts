import pino from 'pino';
import type { Logger } from 'pino';
import type { EntrySettings } from '../state/EntrySettings.ts';

/**
 * Creates the process's logger, which writes one JSON object per line to standard output.
 *
 * @param settings - settings, of which the log level is applied
 * @param name - name of the process in its log lines
 * @returns the logger
 */
export const createLogger = (settings: Pick<EntrySettings, 'logLevel'>, name: string): Logger =>
  pino({ name, level: settings.logLevel, base: { name, pid: process.pid } });
