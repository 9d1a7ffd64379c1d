import { string } from '@oclif/core/args';
import { string as stringFlag } from '@oclif/core/flags';
import { approveBundle } from '../../coordination/configuration/index.ts';
import { BundleCommand, makeStep } from '../BundleCommand.ts';
import { operatorFlag, platformFlags } from '../platformFlags.ts';
import { withPlatform } from '../withPlatform.ts';

/** Approves a proposed bundle by its digest. */
export class BundleApprove extends BundleCommand {
  static override summary = 'Approve a proposed bundle by the digest that was reviewed.';

  static override args = {
    bundle: string({ required: true, description: 'Name and version, such as snow-4.' }),
  };

  static override flags = {
    ...platformFlags,
    ...operatorFlag,
    digest: stringFlag({ required: true, description: 'Digest, as propose and show print it.' }),
  };

  static override examples = [
    '<%= config.bin %> bundle approve snow-4 --digest sha256:… --operator ben',
  ];

  async run() {
    const { args, flags } = await this.parse(BundleApprove);
    const outcome = await withPlatform(flags, (platform) =>
      approveBundle(platform, args.bundle, flags.digest, makeStep(flags.operator)),
    );
    return this.tell(outcome, 'approved');
  }
}
