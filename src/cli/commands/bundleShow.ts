import { listBundles, type BundleSummary } from '../../coordination/configuration/index.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { OperatorCommand } from '../OperatorCommand.ts';
import { platformFlags } from '../platformFlags.ts';
import { withPlatform } from '../withPlatform.ts';

const formatRow = (row: BundleSummary): string => {
  const force =
    row.rollNumber === undefined ? '' : `, in force as roll ${row.rollNumber} by ${row.rolledBy}`;
  const approval = row.approvedBy === undefined ? 'not approved' : `approved by ${row.approvedBy}`;
  return `${row.bundle}: proposed by ${row.proposedBy}, ${approval}${force}\n  ${row.digest}`;
};

/** Shows all proposed bundles. */
export class BundleShow extends OperatorCommand {
  static override summary = 'Show the proposed bundles, their approvals and which one is in force.';

  static override flags = { ...platformFlags };

  static override examples = ['<%= config.bin %> bundle show'];

  async run() {
    const { flags } = await this.parse(BundleShow);
    const shown = await withPlatform(flags, listBundles);
    if (shown._tag === 'unavailable') {
      this.error(`the object service is away (${shown.detail})`, { exit: EXIT_CODES.unreachable });
    }
    this.log(shown.rows.length === 0 ? 'no bundle yet' : shown.rows.map(formatRow).join('\n'));
    return shown.rows;
  }
}
