import { string } from '@oclif/core/args';
import { option } from '@oclif/core/flags';
import {
  detectDocumentKind,
  formatProblem,
  loadBundle,
  loadEntrySettings,
} from '../../state/documents/index.ts';
import { digestJson } from '../../state/canonicalJson.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { OperatorCommand } from '../OperatorCommand.ts';
import { readText } from '../readText.ts';

/** Checks a bundle, or settings, without any call to a service. */
export class Check extends OperatorCommand {
  static override summary =
    'Check a bundle or settings file and name everything that can not work.';

  static override args = {
    file: string({ required: true, description: 'File of JSON with comments.' }),
  };

  static override flags = {
    kind: option({
      options: ['settings', 'bundle'] as const,
      description: 'What the file holds. By default its keys tell.',
    })(),
  };

  static override examples = [
    '<%= config.bin %> check bundle.jsonc',
    '<%= config.bin %> check settings.jsonc',
  ];

  async run() {
    const { args, flags } = await this.parse(Check);
    const file = await readText(args.file);
    if (file._tag === 'unreadable') this.error(file.detail, { exit: EXIT_CODES.invalid });
    const kind = flags.kind ?? detectDocumentKind(file.text);
    const loaded =
      kind === 'settings' ? loadEntrySettings(file.text) : loadBundle(file.text, Date.now());
    if (loaded._tag === 'valid') {
      const digest = digestJson(loaded.source);
      this.log(`${args.file}: valid ${kind}`);
      if (kind === 'bundle') this.log(`digest ${digest}`);
      return { valid: true, kind, digest, problems: [] };
    }
    const problems = loaded.problems.map((problem) => ({ ...problem, file: args.file }));
    this.logToStderr(problems.map(formatProblem).join('\n'));
    process.exitCode = EXIT_CODES.invalid;
    return { valid: false, kind, problems };
  }
}
