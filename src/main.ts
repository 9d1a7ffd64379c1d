import { handle } from '@oclif/core/handle';
import { COMMANDS } from './cli/commands/index.ts';
import { runProgram } from './cli/runProgram.ts';

runProgram(process.argv.slice(2), COMMANDS).catch(handle);
