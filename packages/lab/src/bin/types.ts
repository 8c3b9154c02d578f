import type { z } from 'zod';
/** A subcommand of `sardinegrade-lab`. */
export interface LabCommand {
  readonly name: string;
  /** Positional arguments in cac's notation. */
  readonly positionals?: string;
  readonly description: string;
  readonly options: Readonly<
    Record<string, { readonly schema: z.ZodType; readonly description: string }>
  >;
  /**
   * Runs the subcommand.
   *
   * @param flags - what the command line gave
   * @param positionals - the positional arguments
   */
  readonly run: (
    flags: Readonly<Record<string, unknown>>,
    positionals: readonly string[],
  ) => Promise<void>;
}
