import { listMoves, type MoveRow } from '../../coordination/moves/index.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { OperatorCommand } from '../OperatorCommand.ts';
import { platformFlags } from '../platformFlags.ts';
import { withPlatform } from '../withPlatform.ts';

const formatRow = ({ move, terms, state, detail }: MoveRow): string => {
  const what =
    terms === undefined
      ? 'of an earlier bundle'
      : `pool ${terms.pool} from ${terms.from} to ${terms.to} by ${terms.completeBy}`;
  return `${move}: ${state}${detail === '' ? '' : ` (${detail})`}, ${what}`;
};

/** Lists moves with what became of them. */
export class MoveList extends OperatorCommand {
  static override summary = 'Tell whether each move is done or taken back, and why.';

  static override flags = { ...platformFlags };

  static override examples = ['<%= config.bin %> move list --json'];

  async run() {
    const { flags } = await this.parse(MoveList);
    const listed = await withPlatform(flags, listMoves);
    if (listed._tag === 'unavailable') {
      this.error(`the object service is away (${listed.detail})`, { exit: EXIT_CODES.unreachable });
    }
    this.log(listed.rows.length === 0 ? 'no move yet' : listed.rows.map(formatRow).join('\n'));
    return listed.rows;
  }
}
