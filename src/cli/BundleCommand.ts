import { randomUUID } from 'node:crypto';
import type { BundleOutcome, OperatorAction } from '../coordination/configuration/index.ts';
import { formatProblem } from '../state/documents/index.ts';
import { EXIT_CODES } from './exitCodes.ts';
import { OperatorCommand } from './OperatorCommand.ts';

const exitCodeOf = (outcome: BundleOutcome): number => {
  switch (outcome._tag) {
    case 'done':
      return EXIT_CODES.done;
    case 'lost':
      return EXIT_CODES.failed;
    case 'refused':
      return EXIT_CODES.invalid;
    case 'unknown':
      return EXIT_CODES.unknown;
    case 'unavailable':
      return EXIT_CODES.unreachable;
    default:
      return outcome satisfies never;
  }
};

/** A step with a bundle, whose outcome is told in words, as JSON and as exit code. */
export abstract class BundleCommand extends OperatorCommand {
  /**
   * Tells an outcome.
   *
   * @param outcome - what became of the step
   * @param verb - the step in the past tense, such as `rolled`
   * @returns the outcome, for `--json`
   */
  protected tell(outcome: BundleOutcome, verb: string): BundleOutcome {
    process.exitCode = exitCodeOf(outcome);
    switch (outcome._tag) {
      case 'done': {
        const roll = outcome.rollNumber === undefined ? '' : ` as roll ${outcome.rollNumber}`;
        const repeated = outcome.repeated ? ' (already so)' : '';
        this.log(`${verb} ${outcome.bundle}${roll}${repeated}\ndigest ${outcome.digest}`);
        break;
      }
      case 'lost':
        this.logToStderr(`not ${verb}: ${outcome.detail}`);
        break;
      case 'refused':
        this.logToStderr(
          [`refused: ${outcome.detail}`, ...outcome.problems.map(formatProblem)].join('\n'),
        );
        break;
      case 'unknown':
        this.logToStderr(`it isn't known whether it was ${verb} (${outcome.detail}): run it again`);
        break;
      case 'unavailable':
        this.logToStderr(`not ${verb}: the object service is away (${outcome.detail})`);
        break;
      default:
        outcome satisfies never;
    }
    return outcome;
  }
}

/** Makes the step of an operator with a nonce of its own. */
export const makeStep = (operator: string): OperatorAction => ({ operator, nonce: randomUUID() });
