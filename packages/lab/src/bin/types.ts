import type { z } from 'zod';

/** A subcommand of `sardinegrade-lab`. */
export interface LabCommand {
  readonly name: string;
  /** Positional arguments in the syntax of cac. */
  readonly positionals?: string;
  readonly description: string;
  readonly options: Readonly<
    Record<string, { readonly schema: z.ZodType; readonly description: string }>
  >;
  /**
   * Runs the subcommand.
   *
   * @param flags - options parsed by cac, by name in camel case
   * @param positionals - positional arguments that were given
   */
  readonly run: (
    flags: Readonly<Record<string, unknown>>,
    positionals: readonly string[],
  ) => Promise<void>;
}
