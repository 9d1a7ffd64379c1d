import { string } from '@oclif/core/args';
import { rollBundle } from '../../coordination/configuration/index.ts';
import { BundleCommand, makeStep } from '../BundleCommand.ts';
import { operatorFlag, platformFlags } from '../platformFlags.ts';
import { withPlatform } from '../withPlatform.ts';

/** Puts an approved bundle in force. */
export class BundleRoll extends BundleCommand {
  static override summary = 'Put an approved bundle in force everywhere.';

  static override args = {
    bundle: string({ required: true, description: 'Name and version, such as snow-4.' }),
  };

  static override flags = { ...platformFlags, ...operatorFlag };

  static override examples = ['<%= config.bin %> bundle roll snow-4 --operator ana'];

  async run() {
    const { args, flags } = await this.parse(BundleRoll);
    const outcome = await withPlatform(flags, (platform) =>
      rollBundle(platform, args.bundle, makeStep(flags.operator), Date.now()),
    );
    return this.tell(outcome, 'rolled');
  }
}
