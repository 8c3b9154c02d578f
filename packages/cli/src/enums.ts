/** Exit codes of the program, documented in docs/CLI.md. */
export enum ExitCode {
  Success = 0,
  /** The command failed for a reason without a specific exit code. */
  Failed = 1,
  /** The command line is wrong. */
  Usage = 2,
  /** The configuration text or the checked file is invalid. */
  Invalid = 3,
  /** Another change was applied since the generation that this change is based on. */
  Conflict = 4,
  /** No daemon could be reached, or the platform is unavailable, or the daemon is not ready. */
  Unreachable = 5,
  /** The key is missing, unknown or does not have the required role. */
  Forbidden = 6,
  /** The named object does not exist. */
  NotFound = 7,
  /** The texts differ; only with `diff --exit-code`. */
  Different = 8,
  /** The change was accepted, but is not known to be active on every VM. */
  NotActive = 9,
}
