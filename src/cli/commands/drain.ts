import { string } from '@oclif/core/flags';
import * as Effect from 'effect/Effect';
import { performance } from 'node:perf_hooks';
import { drainEntry } from '../../transport/client/index.ts';
import { addressesOf, entryFlags } from '../entryFlags.ts';
import { EXIT_CODES } from '../exitCodes.ts';
import { OperatorCommand } from '../OperatorCommand.ts';

/** Drains entries. */
export class Drain extends OperatorCommand {
  static override summary =
    'Drain entries: they take no new request, finish what they have, and stop.';

  static override flags = {
    ...entryFlags,
    secret: string({
      description: 'The shared secret of the entries.',
      env: 'CORIANDERWICK_PEER_SECRET',
      required: true,
    }),
  };

  static override examples = [
    'CORIANDERWICK_PEER_SECRET=… <%= config.bin %> drain --entry 10.0.0.7:8080',
  ];

  async run() {
    const { flags } = await this.parse(Drain);
    const results = await Effect.runPromise(
      Effect.scoped(
        Effect.forEach(addressesOf(flags.entry), (address) =>
          drainEntry(address, flags.secret, () => performance.now()),
        ),
      ),
    );
    results.forEach(({ address, detail }) => this.log(`${address}  ${detail}`));
    if (results.some(({ draining }) => !draining)) process.exitCode = EXIT_CODES.unreachable;
    return results;
  }
}
