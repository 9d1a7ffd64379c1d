import type { Command } from '@oclif/core/command';
import { boolean } from '@oclif/core/flags';
import type { Interfaces } from '@oclif/core';

const JSON_FLAG = boolean({ description: 'Print the result as JSON.', helpGroup: 'GLOBAL' });

/** Oclif's help reads names that only its parser sets. */
const withNames = <T>(table: Readonly<Record<string, T>>): Record<string, T & { name: string }> =>
  Object.fromEntries(Object.entries(table).map(([name, item]) => [name, { ...item, name }]));

const describe = (id: string, command: Command.Class, pluginName: string): Command.Loadable => ({
  id,
  aliases: command.aliases,
  args: withNames(command.args),
  description: command.description,
  examples: command.examples,
  flags: withNames({ ...(command.enableJsonFlag && { json: JSON_FLAG }), ...command.flags }),
  hidden: command.hidden,
  hiddenAliases: command.hiddenAliases,
  pluginAlias: pluginName,
  pluginName,
  pluginType: 'core',
  strict: command.strict,
  summary: command.summary,
  usage: command.usage,
  load: async () => Object.assign(command, { id }),
});

/**
 * An oclif plugin whose commands are a table in memory.
 * Oclif's own finds commands in files beside the program, and one binary has none.
 */
export class EmbeddedPlugin implements Interfaces.Plugin {
  readonly _base = '';

  readonly alias: string;

  readonly commandIDs: string[];

  readonly commands: Command.Loadable[];

  readonly commandsDir = undefined;

  readonly hasManifest = false;

  readonly hooks = {};

  readonly isRoot = true;

  readonly moduleType = 'commonjs';

  readonly name: string;

  readonly options: Interfaces.Options;

  readonly root: string;

  readonly topics: Interfaces.Topic[];

  readonly type = 'core';

  readonly valid = true;

  readonly version: string;

  constructor(
    private readonly table: Readonly<Record<string, Command.Class>>,
    readonly pjson: Interfaces.PJSON,
    root: string,
  ) {
    this.alias = pjson.name;
    this.name = pjson.name;
    this.version = pjson.version;
    this.root = root;
    this.options = { root, pjson };
    this.commandIDs = Object.keys(table);
    this.commands = Object.entries(table).map(([id, command]) => describe(id, command, this.name));
    this.topics = Object.entries(pjson.oclif.topics ?? {}).map(([name, topic]) => ({
      ...topic,
      name,
    }));
  }

  findCommand(id: string, options: { must: true }): Promise<Command.Class>;

  findCommand(id: string, options?: { must: boolean }): Promise<Command.Class> | undefined;

  findCommand(id: string): Promise<Command.Class> | undefined {
    const command = this.table[id];
    return command === undefined ? undefined : Promise.resolve(command);
  }

  // Part of oclif's interface; the table is there from the start.
  // eslint-disable-next-line class-methods-use-this
  load(): Promise<void> {
    return Promise.resolve();
  }
}
