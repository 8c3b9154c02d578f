import { loadSettings, ResultCode, SardinegradeError } from '@sardinegrade/common';
import { z } from 'zod';

/** One option of a subcommand, given on the command line or in the settings file. */
export interface OptionSpecification {
  /** Reads the option's text. */
  readonly schema: z.ZodType;
  readonly description: string;
}

/** The options of a subcommand by their name in camel case. */
export type OptionTable = Readonly<Record<string, OptionSpecification>>;

/** The validated options of a subcommand; those that were not given are absent. */
export type OptionValues<Table extends OptionTable> = {
  readonly [Name in keyof Table]?: Exclude<z.output<Table[Name]['schema']>, undefined>;
};

const toSeparated = (name: string, separator: string): string =>
  name.replace(/[A-Z]/g, (letter) => `${separator}${letter.toLowerCase()}`);

/**
 * Formats an option's name for the command line.
 *
 * @param name - the name in camel case
 * @returns the name with hyphens
 */
export const formatFlag = (name: string): string => toSeparated(name, '-');

const readFile = (file: string, command: string, table: OptionTable): Record<string, unknown> => {
  const shape = Object.fromEntries(
    Object.entries(table).map(([name, { schema }]) => [toSeparated(name, '_'), schema.optional()]),
  );
  const schema = z.looseObject({ [command]: z.strictObject(shape).optional() });
  const section = loadSettings(file, schema)[command] ?? {};
  const names = new Map(Object.keys(table).map((name) => [toSeparated(name, '_'), name]));
  return Object.fromEntries(
    Object.entries(section).map(([key, value]) => [names.get(key) ?? key, value]),
  );
};

const readFlags = (
  flags: Readonly<Record<string, unknown>>,
  table: OptionTable,
): Record<string, unknown> => {
  const values: Record<string, unknown> = {};
  for (const [name, { schema }] of Object.entries(table)) {
    const value = flags[name];
    if (value === undefined) continue;
    // cac makes numbers and booleans of texts that look like them; the schemas read texts.
    const result = schema.safeParse(typeof value === 'string' ? value : JSON.stringify(value));
    if (!result.success) {
      const reason = result.error.issues.map((issue) => issue.message).join('; ');
      throw new SardinegradeError(ResultCode.SettingInvalid, `--${formatFlag(name)}: ${reason}`);
    }
    values[name] = result.data;
  }
  return values;
};

/**
 * Reads a subcommand's options from its section of the settings file, if one is named, and from the
 * command line, which goes first.
 *
 * @param command - the subcommand, which is also the section's name
 * @param table - its options
 * @param flags - what the command line gave
 * @returns the validated options
 * @throws SardinegradeError naming the option or the setting that is wrong
 */
export const readOptions = <Table extends OptionTable>(
  command: string,
  table: Table,
  flags: Readonly<Record<string, unknown>>,
): OptionValues<Table> => {
  const fromFile = typeof flags.config === 'string' ? readFile(flags.config, command, table) : {};
  // Each value has passed the schema of its name.
  return { ...fromFile, ...readFlags(flags, table) } as OptionValues<Table>;
};

/** Schemas of option texts. */
export const OPTION_SCHEMAS = {
  text: z.string().min(1),
  list: z.string().transform((text) => text.split(',').map((part) => part.trim())),
  number: z.coerce.number().nonnegative(),
  count: z.coerce.number().int().nonnegative(),
  part: z.coerce.number().min(0).max(1),
  flag: z.enum(['true', 'false']).transform((text) => text === 'true'),
} as const;
