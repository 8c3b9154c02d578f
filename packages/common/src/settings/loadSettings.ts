import { readFileSync } from 'node:fs';

import { parseIniDocument } from './iniDocument.js';
import { SettingsError } from './SettingsError.js';

import type { z } from 'zod';
import type { IniDocument } from './iniDocument.js';
import type { SettingFault } from './SettingsError.js';

const toFaults = (issue: z.core.$ZodIssue, document: IniDocument): readonly SettingFault[] => {
  if (issue.code !== 'unrecognized_keys') {
    const key = issue.path.map(String).join('.');
    return [{ line: document.findLine(issue.path), key, message: issue.message }];
  }
  return issue.keys.map((name) => {
    const path = [...issue.path, name];
    return {
      line: document.findLine(path),
      key: path.map(String).join('.'),
      message: 'unknown key',
    };
  });
};

/**
 * Validates an INI document against a schema.
 *
 * @param document - the parsed text
 * @param schema - the schema of its values
 * @param file - file name used in error messages
 * @returns the validated values
 * @throws SettingsError with line, section and key of each fault
 */
export const validateIni = <Schema extends z.ZodType>(
  document: IniDocument,
  schema: Schema,
  file: string,
): z.output<Schema> => {
  const result = schema.safeParse(document.values);
  if (result.success) return result.data;
  throw new SettingsError(
    file,
    result.error.issues.flatMap((issue) => toFaults(issue, document)),
  );
};

/**
 * Reads and validates a settings file.
 *
 * @param file - path of the INI file
 * @param schema - the schema of its values
 * @returns the validated settings
 * @throws SettingsError if the file cannot be read or a setting is invalid
 */
export const loadSettings = <Schema extends z.ZodType>(
  file: string,
  schema: Schema,
): z.output<Schema> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    throw new SettingsError(file, [{ line: 1, key: '(file)', message: String(error) }]);
  }
  return validateIni(parseIniDocument(text), schema, file);
};
