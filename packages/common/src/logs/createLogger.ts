import { createConsola } from 'consola/core';

import { CONSOLA_LEVELS } from './constants.js';
import { LINE_FORMATTERS } from './formatLine.js';

import type { ConsolaInstance, ConsolaReporter } from 'consola/core';
import type { LogFields, Logger, LoggerOptions, LogOutput } from './types.js';

const createReporter = (options: LoggerOptions, output: LogOutput): ConsolaReporter => ({
  log: (entry) => {
    const [message, fields] = entry.args as [string, LogFields];
    const formatLine = LINE_FORMATTERS[options.format];
    output.write(`${formatLine({ at: entry.date, level: entry.type, message, fields })}\n`);
  },
});

const wrapConsola = (consola: ConsolaInstance, commonFields: LogFields): Logger => {
  const withCommonFields = (fields: LogFields | undefined): LogFields => ({
    ...commonFields,
    ...fields,
  });
  return {
    error: (message, fields) => consola.error(message, withCommonFields(fields)),
    warn: (message, fields) => consola.warn(message, withCommonFields(fields)),
    info: (message, fields) => consola.info(message, withCommonFields(fields)),
    debug: (message, fields) => consola.debug(message, withCommonFields(fields)),
    withFields: (fields) => wrapConsola(consola, withCommonFields(fields)),
  };
};

/**
 * Creates a logger that writes one line per event.
 *
 * @param options - level, format, output and fields common to all lines
 * @returns a logger with these options
 */
export const createLogger = (options: LoggerOptions): Logger => {
  const output = options.output ?? process.stderr;
  const consola = createConsola({
    level: CONSOLA_LEVELS[options.level],
    // Disables throttling: consola merges identical lines within a second, but each line must be written.
    throttle: -1,
    reporters: [createReporter(options, output)],
  });
  return wrapConsola(consola, options.fields ?? {});
};
