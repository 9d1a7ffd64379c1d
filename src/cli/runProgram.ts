import { dirname } from 'node:path';
import type { Command } from '@oclif/core/command';
import { Config } from '@oclif/core/config';
import { run } from '@oclif/core/run';
import type { Interfaces } from '@oclif/core';
import { description, name, version } from '../../package.json';
import { TOPICS } from './commands/index.ts';
import { EmbeddedPlugin } from './EmbeddedPlugin.ts';

/**
 * Runs one command line.
 *
 * @param commandLine - arguments after the program's name
 * @param commands - the commands to choose from
 * @returns the command's result
 * @throws what the command threw, with oclif's exit code
 */
export const runProgram = async (
  commandLine: readonly string[],
  commands: Readonly<Record<string, Command.Class>>,
): Promise<unknown> => {
  const pjson: Interfaces.PJSON = {
    name,
    version,
    description,
    oclif: { bin: name, topicSeparator: ' ', topics: { ...TOPICS } },
  };
  const root = dirname(process.execPath);
  const plugin = new EmbeddedPlugin(commands, pjson, root);
  const config = new Config({ root, pjson, plugins: new Map([[name, plugin]]) });
  await config.load();
  return run([...commandLine], config);
};
