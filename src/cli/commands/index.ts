import type { Command } from '@oclif/core/command';

/** Every command by its id; a colon stands between topic and command. */
export const COMMANDS: Readonly<Record<string, Command.Class>> = {};

/** What `--help` says of each group of commands. */
export const TOPICS: Readonly<Record<string, { readonly description: string }>> = {
  bundle: { description: 'Propose, approve, roll and show bundles.' },
  move: { description: 'Read back what became of moves between endpoint versions.' },
};
