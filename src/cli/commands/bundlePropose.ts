import { string } from '@oclif/core/args';
import { proposeBundle } from '../../coordination/configuration/index.ts';
import { loadBundle } from '../../state/documents/index.ts';
import { BundleCommand, makeStep } from '../BundleCommand.ts';
import { operatorFlag, platformFlags } from '../platformFlags.ts';
import { readText } from '../readText.ts';
import { withPlatform } from '../withPlatform.ts';

/** Proposes a bundle from a file. */
export class BundlePropose extends BundleCommand {
  static override summary = 'Check a bundle and write it to the object service for approval.';

  static override args = {
    file: string({ required: true, description: 'Bundle as JSON with comments.' }),
  };

  static override flags = { ...platformFlags, ...operatorFlag };

  static override examples = ['<%= config.bin %> bundle propose bundle.jsonc --operator ana'];

  async run() {
    const { args, flags } = await this.parse(BundlePropose);
    const file = await readText(args.file);
    if (file._tag === 'unreadable') {
      return this.tell({ _tag: 'refused', detail: file.detail, problems: [] }, 'proposed');
    }
    const loaded = loadBundle(file.text, Date.now());
    if (loaded._tag === 'invalid') {
      const problems = loaded.problems.map((problem) => ({ ...problem, file: args.file }));
      return this.tell({ _tag: 'refused', detail: 'the bundle is invalid', problems }, 'proposed');
    }
    const outcome = await withPlatform(flags, (platform) =>
      proposeBundle(platform, loaded.value, loaded.source, makeStep(flags.operator)),
    );
    return this.tell(outcome, 'proposed');
  }
}
