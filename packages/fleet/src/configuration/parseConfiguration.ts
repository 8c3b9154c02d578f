import { SettingsError, parseIniDocument, validateIni } from '@sardinegrade/common';

import { TEXT_LIMIT_BYTES } from './constants.js';
import { ConfigurationError } from './errors.js';
import { findDuplicates } from './findDuplicates.js';
import { findFaults } from './findFaults.js';
import { CONFIGURATION_SCHEMA } from './schema.js';
import { toConfiguration } from './toConfiguration.js';

import type { IniDocument } from '@sardinegrade/common';
import type { ConfigurationValues } from './schema.js';
import type { FleetConfiguration } from './types.js';

const checkSize = (text: string): void => {
  const bytes = Buffer.byteLength(text);
  if (bytes <= TEXT_LIMIT_BYTES) return;
  const message = `holds ${bytes} bytes; at most ${TEXT_LIMIT_BYTES} are accepted`;
  throw new ConfigurationError([{ line: 1, key: '(text)', message }]);
};

const validate = (document: IniDocument): ConfigurationValues => {
  try {
    return validateIni(document, CONFIGURATION_SCHEMA, 'configuration');
  } catch (error) {
    if (error instanceof SettingsError) throw new ConfigurationError(error.faults);
    throw error;
  }
};

/**
 * Parses and validates a configuration text.
 *
 * @param text - text in INI format
 * @param generation - current or future generation of the text
 * @returns the configuration, without drain marks
 * @throws ConfigurationError with the line, the key and the accepted values of each fault
 */
export const parseConfiguration = (text: string, generation: number): FleetConfiguration => {
  checkSize(text);
  const document = parseIniDocument(text);
  const duplicates = findDuplicates(text);
  if (duplicates.length > 0) throw new ConfigurationError(duplicates);
  const values = validate(document);
  const faults = findFaults(values, document);
  if (faults.length > 0) throw new ConfigurationError(faults);
  return toConfiguration(text, generation, values);
};
