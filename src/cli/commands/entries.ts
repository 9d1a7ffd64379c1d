import { addressesOf, entryFlags } from '../entryFlags.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { OperatorCommand } from '../OperatorCommand.ts';
import { withCaller } from '../withCaller.ts';

/** Lists the entries that callers may use. */
export class Entries extends OperatorCommand {
  static override summary = 'List the entries that callers may use now.';

  static override flags = { ...entryFlags };

  static override examples = ['<%= config.bin %> entries --entry 10.0.0.7:8080'];

  async run() {
    const { flags } = await this.parse(Entries);
    const entries = await withCaller(flags, (caller) => caller.entries());
    if (entries.length === 0) {
      this.error(`no entry answers at ${addressesOf(flags.entry).join(', ')}`, {
        exit: EXIT_CODES.unreachable,
      });
    }
    entries.forEach(({ address, failureDomain, requestIdPrefix }) =>
      this.log(`${address}  failure domain ${failureDomain}  request ids ${requestIdPrefix}`),
    );
    return entries;
  }
}
