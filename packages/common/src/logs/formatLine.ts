import { LogFormat } from './enums.js';
import { sanitizeText } from './sanitizeText.js';
import { toRecord } from './toRecord.js';

import type { LogFields } from './types.js';

/** One log event. */
export interface LogEvent {
  readonly at: Date;
  readonly level: string;
  readonly message: string;
  readonly fields: LogFields;
}

const formatJson = (event: LogEvent): string =>
  JSON.stringify({
    time: event.at.toISOString(),
    level: event.level,
    message: sanitizeText(event.message),
    ...toRecord(event.fields, true),
  });

const formatText = (event: LogEvent): string => {
  const pairs = Object.entries(toRecord(event.fields, false)).map(
    ([name, value]) => `${name}=${/[\s"=]/.test(String(value)) ? JSON.stringify(value) : value}`,
  );
  const level = event.level.toUpperCase().padEnd(5);
  return [event.at.toISOString(), level, sanitizeText(event.message), ...pairs].join(' ');
};

/** Formatter of each log format. */
export const LINE_FORMATTERS: Readonly<Record<LogFormat, (event: LogEvent) => string>> = {
  [LogFormat.Text]: formatText,
  [LogFormat.Json]: formatJson,
};
