import { createConsola } from 'consola/core';

import { LEVEL_NUMBER } from './constants.js';
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

const wrapConsola = (consola: ConsolaInstance, common: LogFields): Logger => {
  const withCommon = (fields: LogFields | undefined): LogFields => ({ ...common, ...fields });
  return {
    error: (message, fields) => consola.error(message, withCommon(fields)),
    warn: (message, fields) => consola.warn(message, withCommon(fields)),
    info: (message, fields) => consola.info(message, withCommon(fields)),
    debug: (message, fields) => consola.debug(message, withCommon(fields)),
    withFields: (fields) => wrapConsola(consola, withCommon(fields)),
  };
};

/**
 * Creates a logger that writes one line per event.
 *
 * @param options - level, format, output and fields common to all lines
 * @returns the logger
 */
export const createLogger = (options: LoggerOptions): Logger => {
  const output = options.output ?? process.stderr;
  const consola = createConsola({
    level: LEVEL_NUMBER[options.level],
    // The library merges like lines within a second; every line counts here.
    throttle: -1,
    reporters: [createReporter(options, output)],
  });
  return wrapConsola(consola, options.fields ?? {});
};
