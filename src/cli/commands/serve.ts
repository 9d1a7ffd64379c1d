import { readFile } from 'node:fs/promises';
import * as Effect from 'effect/Effect';
import * as Exit from 'effect/Exit';
import * as Scope from 'effect/Scope';
import * as Flags from '@oclif/core/flags';
import { Command } from '@oclif/core/command';
import { createLogger } from '../../app/createLogger.ts';
import { runEntry } from '../../app/runEntry.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { loadEntrySettings } from '../../state/documents/index.ts';

/** Runs one entry process until it is drained or stopped. */
export class Serve extends Command {
  static override description =
    'Run one entry process. Ctrl-C or SIGTERM drains it: what waits and runs is served to its end; ' +
    'a second one stops it at once.';

  static override examples = ['<%= config.bin %> serve --settings settings.jsonc'];

  static override flags = {
    settings: Flags.string({ required: true, description: 'settings file, JSON with comments' }),
  };

  async run(): Promise<void> {
    const { flags } = await this.parse(Serve);
    const text = await readFile(flags.settings, 'utf8').catch((error: Error) =>
      this.error(`${flags.settings}: ${error.message}`, { exit: EXIT_CODES.invalid }),
    );
    const loaded = loadEntrySettings(text);
    if (loaded._tag === 'invalid') {
      const lines = loaded.problems.map(
        ({ line, column, path, message }) =>
          `${flags.settings}:${line}:${column} ${path}: ${message}`,
      );
      this.error(lines.join('\n'), { exit: EXIT_CODES.invalid });
    }
    const logger = createLogger(loaded.value, loaded.value.callerAddress);
    const scope = await Effect.runPromise(Scope.make());
    const { entry, drained } = await Effect.runPromise(
      Scope.provide(runEntry(loaded.value, logger), scope),
    );
    const stopped = new Promise<void>((resolve) => {
      const onSignal = (signal: string): void => {
        logger.info({ signal }, entry.draining ? 'stopping' : 'draining');
        if (entry.draining) resolve();
        else entry.drain();
      };
      process.on('SIGTERM', onSignal);
      process.on('SIGINT', onSignal);
    });
    await Promise.race([drained, stopped]);
    await Effect.runPromise(Scope.close(scope, Exit.void));
    logger.info('entry stopped');
  }
}
