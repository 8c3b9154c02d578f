import { ExitCode } from './enums.js';

/** An error that ends the program with a code and tells the operator what to do next. */
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

/** A command line that cannot be run. */
export class UsageError extends CommandError {
  constructor(message: string, nextStep = 'See sardinegrade --help.') {
    super(ExitCode.Usage, message, nextStep);
    this.name = 'UsageError';
  }
}

/** No daemon answered. */
export class UnreachableError extends CommandError {
  constructor(message: string) {
    const nextStep =
      'Check --address or SARDINEGRADE_ADDRESS: it names the administration port of an entry daemon, such as http://10.0.0.1:7002. Several may be given.';
    super(ExitCode.Unreachable, message, nextStep);
    this.name = 'UnreachableError';
  }
}
