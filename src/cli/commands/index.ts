import type { Command } from '@oclif/core/command';
import { BundleApprove } from './bundleApprove.ts';
import { BundlePropose } from './bundlePropose.ts';
import { BundleRoll } from './bundleRoll.ts';
import { BundleShow } from './bundleShow.ts';
import { Check } from './check.ts';
import { Drain } from './drain.ts';
import { Entries } from './entries.ts';
import { MoveList } from './moveList.ts';
import { Request } from './request.ts';
import { Serve } from './serve.ts';

/** Every command by its id; a colon stands between topic and command. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {
  'bundle:approve': BundleApprove,
  'bundle:propose': BundlePropose,
  'bundle:roll': BundleRoll,
  'bundle:show': BundleShow,
  check: Check,
  drain: Drain,
  entries: Entries,
  'move:list': MoveList,
  request: Request,
  serve: Serve,
};

/** What `--help` says of each group of commands. */
export const TOPICS: Readonly<Record<string, { readonly description: string }>> = {
  bundle: { description: 'Propose, approve, roll and show bundles.' },
  move: { description: 'Read back what became of moves between endpoint versions.' },
};
