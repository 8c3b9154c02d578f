/** How the program ends. docs/CLI.md lists the same. */
export enum ExitCode {
  Success = 0,
  /** The daemon could not do it, for a reason that has no code of its own. */
  Failed = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** The configuration text has faults. */
  Invalid = 3,
  /** Another change came first. */
  Conflict = 4,
  /** No daemon, or not the platform behind it, could be reached. */
  Unreachable = 5,
  /** The key is missing, wrong or lacks the role. */
  Forbidden = 6,
  /** Nothing has the name that was given. */
  NotFound = 7,
  /** The texts differ; only with `diff --exit-code`. */
  Different = 8,
  /** The change was accepted, but is not known to be in force everywhere. */
  NotInForce = 9,
}
