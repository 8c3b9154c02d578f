import { ResultCode } from '@sardinegrade/common';

import { ExitCode } from '../enums.js';
import { CommandError } from '../errors.js';

import type { ProblemView } from '@sardinegrade/common';

/** Exit codes of result codes; all others exit with `Failed`. */
const EXIT_CODES: ReadonlyMap<number, ExitCode> = new Map([
  [ResultCode.MissingKey, ExitCode.Forbidden],
  [ResultCode.InvalidKey, ExitCode.Forbidden],
  [ResultCode.RoleMissing, ExitCode.Forbidden],
  [ResultCode.ConfigurationInvalid, ExitCode.Invalid],
  [ResultCode.GenerationConflict, ExitCode.Conflict],
  [ResultCode.PlatformUnavailable, ExitCode.Unreachable],
  [ResultCode.NotReady, ExitCode.Unreachable],
  [ResultCode.UnknownTarget, ExitCode.NotFound],
  [ResultCode.OrderNotFound, ExitCode.NotFound],
]);

/** Error for a problem document that a daemon returned. */
export class ProblemError extends CommandError {
  readonly problem: ProblemView;

  constructor(problem: ProblemView) {
    const exitCode = EXIT_CODES.get(problem.code) ?? ExitCode.Failed;
    super(exitCode, `${problem.detail} (${problem.title}, ${problem.code})`, problem.next_step);
    this.name = 'ProblemError';
    this.problem = problem;
  }
}
