import type { FleetClient } from './client/index.js';
import type { ExitCode } from './enums.js';

/** Standard output and standard error. */
export interface Terminal {
  readonly writeOut: (text: string) => void;
  readonly writeError: (text: string) => void;
  /** Whether the output is a terminal, whose screen `--watch` may clear. */
  readonly isInteractive: boolean;
}

/** A fault in one field of a file. */
export interface FileFault {
  readonly key: string;
  readonly message: string;
}

/** Result of checking a file. */
export interface FileCheck {
  readonly faults: readonly FileFault[];
  /** Short description of the content; used if there are no faults. */
  readonly summary: string;
}

/** Checks the text of a file in one format. */
export type FileChecker = (text: string) => FileCheck;

/** Operating system functions that the program uses; tests replace them. */
export interface Environment {
  /** File checkers for `check --as`, by format name; supplied by the code that starts the program. */
  readonly checkers: Readonly<Record<string, FileChecker>>;
  /** Environment variables. */
  readonly variables: Readonly<Record<string, string | undefined>>;
  readonly terminal: Terminal;
  /** Reads a text file, or standard input for `-`. */
  readonly readFile: (path: string) => Promise<string>;
  readonly getNowMs: () => number;
  /** Resolves after the duration, or at once when the signal aborts. */
  readonly sleep: (durationMs: number, signal: AbortSignal) => Promise<void>;
  /** Aborts when the operator interrupts the program. */
  readonly signal: AbortSignal;
}

/** Environment and client that a command uses. */
export interface CommandContext {
  readonly environment: Environment;
  /** Creates the client on first use, so that offline commands need no address. */
  readonly getClient: () => FleetClient;
  /** Reports the progress of a long operation on standard error, unless output is quiet or JSON. */
  readonly reportProgress: (text: string) => void;
}

/** Output of a command. */
export interface CommandResult {
  /** Printed with `--json`. */
  readonly value: unknown;
  /** Printed without `--json`. */
  readonly text: string;
  /** Success by default. */
  readonly exitCode?: ExitCode;
}

/** Options of the command line, by name in camel case. */
export type CommandOptions = Readonly<Record<string, unknown>>;

/** An option of a command. */
export interface OptionDefinition {
  readonly flags: string;
  readonly description: string;
}

/** One command of the program. */
export interface Command {
  /** Name and arguments, such as `apply <file>`. */
  readonly usage: string;
  readonly description: string;
  readonly options: readonly OptionDefinition[];
  readonly examples: readonly string[];
  /** Whether the command supports `--watch`. */
  readonly isWatchable: boolean;
  readonly run: (
    context: CommandContext,
    args: readonly string[],
    options: CommandOptions,
  ) => Promise<CommandResult>;
}
