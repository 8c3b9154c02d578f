import { loadSettings, ResultCode, SardinegradeError } from '@sardinegrade/common';
import { z } from 'zod';

/** An option of a subcommand, which is set on the command line or in the settings file. */
export interface OptionSpecification {
  /** Parses and validates the option's text. */
  readonly schema: z.ZodType;
  readonly description: string;
}

/** Options of a subcommand by name in camel case. */
export type OptionTable = Readonly<Record<string, OptionSpecification>>;

/** Validated options of a subcommand. Options that were not set are absent. */
export type OptionValues<Table extends OptionTable> = {
  readonly [Name in keyof Table]?: Exclude<z.output<Table[Name]['schema']>, undefined>;
};

const splitCamelCase = (name: string, separator: string): string =>
  name.replace(/[A-Z]/g, (letter) => `${separator}${letter.toLowerCase()}`);

/**
 * Formats an option's name for the command line.
 *
 * @param name - name in camel case
 * @returns the name in kebab case
 */
export const formatFlag = (name: string): string => splitCamelCase(name, '-');

const readSettingsFile = (
  file: string,
  command: string,
  table: OptionTable,
): Record<string, unknown> => {
  const shape = Object.fromEntries(
    Object.entries(table).map(([name, { schema }]) => [
      splitCamelCase(name, '_'),
      schema.optional(),
    ]),
  );
  const schema = z.looseObject({ [command]: z.strictObject(shape).optional() });
  const section = loadSettings(file, schema)[command] ?? {};
  const names = new Map(Object.keys(table).map((name) => [splitCamelCase(name, '_'), name]));
  return Object.fromEntries(
    Object.entries(section).map(([key, value]) => [names.get(key) ?? key, value]),
  );
};

const parseFlags = (
  flags: Readonly<Record<string, unknown>>,
  table: OptionTable,
): Record<string, unknown> => {
  const values: Record<string, unknown> = {};
  for (const [name, { schema }] of Object.entries(table)) {
    const value = flags[name];
    if (value === undefined) continue;
    // cac converts texts that look like numbers or booleans, but the schemas parse texts.
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
 * Reads a subcommand's options from its section of the settings file, if `--config` is set, and from the
 * command line, which takes precedence.
 *
 * @param command - name of the subcommand and of its section
 * @param table - options of the subcommand
 * @param flags - options parsed by cac, by name in camel case
 * @returns the validated options
 * @throws SardinegradeError that names the invalid option or setting
 */
export const readOptions = <Table extends OptionTable>(
  command: string,
  table: Table,
  flags: Readonly<Record<string, unknown>>,
): OptionValues<Table> => {
  const fromFile =
    typeof flags.config === 'string' ? readSettingsFile(flags.config, command, table) : {};
  // Each value has been validated by the schema of its option.
  return { ...fromFile, ...parseFlags(flags, table) } as OptionValues<Table>;
};

/** Schemas that parse the texts of options. */
export const OPTION_SCHEMAS = {
  text: z.string().min(1),
  list: z.string().transform((text) => text.split(',').map((part) => part.trim())),
  number: z.coerce.number().nonnegative(),
  count: z.coerce.number().int().nonnegative(),
  fraction: z.coerce.number().min(0).max(1),
  flag: z.enum(['true', 'false']).transform((text) => text === 'true'),
} as const;
