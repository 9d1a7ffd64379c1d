import { describe, it } from 'node:test';
import { expect } from 'earl';
import { integer } from '@oclif/core/flags';
import { EXIT_CODES } from './exitCodes.ts';
import { OperatorCommand } from './OperatorCommand.ts';
import { runProgram } from './runProgram.ts';

class Doubling extends OperatorCommand {
  static override summary = 'Double a number.';

  static override flags = { of: integer({ required: true, description: 'The number.' }) };

  async run() {
    const { flags } = await this.parse(Doubling);
    if (flags.of < 0) this.error('the number is below zero', { exit: EXIT_CODES.invalid });
    return flags.of * 2;
  }
}

const COMMANDS = { 'number:double': Doubling };

describe('runProgram', () => {
  it('runs a command of a topic by two words', async () => {
    expect(await runProgram(['number', 'double', '--of', '4'], COMMANDS)).toEqual(8);
  });

  it('ends with the exit code that the command names', async () => {
    const failure = await runProgram(['number', 'double', '--of', '-4'], COMMANDS).catch(
      (error) => error.oclif.exit,
    );
    expect(failure).toEqual(EXIT_CODES.invalid);
    process.exitCode = 0;
  });

  it('ends with the code for wrong usage where a flag is missing', async () => {
    const failure = await runProgram(['number', 'double'], COMMANDS).catch(
      (error) => error.oclif.exit,
    );
    expect(failure).toEqual(EXIT_CODES.invalid);
    process.exitCode = 0;
  });

  it('ends with the code for wrong usage where the command is unknown', async () => {
    const failure = await runProgram(['number', 'halve'], COMMANDS).catch(
      (error) => error.oclif.exit,
    );
    expect(failure).toEqual(EXIT_CODES.invalid);
  });
});
