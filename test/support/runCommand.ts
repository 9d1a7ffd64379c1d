import { mock } from 'node:test';
import type { Command } from '@oclif/core/command';
import { COMMANDS } from '../../src/cli/commands/index.ts';
import { runProgram } from '../../src/cli/runProgram.ts';

/** What a command line gave. */
export interface CommandResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

const linesOf = (calls: readonly { readonly arguments: readonly unknown[] }[]): string =>
  calls.map((call) => call.arguments.join(' ')).join('\n');

/**
 * Runs one command line in this process. Only one may run at a time, since it takes over the console.
 *
 * @param commandLine - arguments after the program's name
 * @param commands - the commands to choose from
 * @returns exit code and output
 */
export const runCommand = async (
  commandLine: readonly string[],
  commands: Readonly<Record<string, Command.Class>> = COMMANDS,
): Promise<CommandResult> => {
  const log = mock.method(console, 'log', () => {});
  const error = mock.method(console, 'error', () => {});
  process.exitCode = 0;
  const failure = await runProgram(commandLine, commands).then(
    () => undefined,
    (thrown: Error & { oclif?: { exit?: number } }) => thrown,
  );
  const code = failure === undefined ? process.exitCode : (failure.oclif?.exit ?? 1);
  process.exitCode = 0;
  const stdout = linesOf(log.mock.calls);
  const stderr = [linesOf(error.mock.calls), failure?.message ?? ''].filter(Boolean).join('\n');
  log.mock.restore();
  error.mock.restore();
  return { code: Number(code), stdout, stderr };
};
