import { Command } from '@oclif/core/command';
import { EXIT_CODES } from './exitCodes.ts';

/** A command with `--json`, whose exit code is the documented one also where `--json` is given. */
export abstract class OperatorCommand extends Command {
  static override enableJsonFlag = true;

  protected override async catch(error: Error & { oclif?: { exit?: number | false } }) {
    const code = error.oclif?.exit;
    process.exitCode = typeof code === 'number' ? code : EXIT_CODES.failed;
    await super.catch(error);
  }
}
