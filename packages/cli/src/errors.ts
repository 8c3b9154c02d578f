import { ExitCode } from './enums.js';

/** Error that ends the program with an exit code and an instruction for the operator. */
export class CommandError extends Error {
  readonly exitCode: ExitCode;
  readonly nextStep: string;

  constructor(exitCode: ExitCode, message: string, nextStep: string) {
    super(message);
    this.name = 'CommandError';
    this.exitCode = exitCode;
    this.nextStep = nextStep;
  }
}

/** Error for an invalid command line. */
export class UsageError extends CommandError {
  constructor(message: string, nextStep = 'See sardinegrade --help.') {
    super(ExitCode.Usage, message, nextStep);
    this.name = 'UsageError';
  }
}

/** Error for a daemon that cannot be reached or returns an invalid response. */
export class UnreachableError extends CommandError {
  constructor(message: string) {
    const nextStep =
      'Check --address or SARDINEGRADE_ADDRESS: it names the administration port of an entry daemon, such as http://10.0.0.1:7002. Several may be given.';
    super(ExitCode.Unreachable, message, nextStep);
    this.name = 'UnreachableError';
  }
}
