import { SardinegradeError } from '../errors/index.js';
import { sanitizeText } from './sanitizeText.js';

import type { LogFields } from './types.js';

/** Names and values of one log line, in output order. */
export type LogRecord = Readonly<Record<string, string | number | boolean>>;

type FieldName = Exclude<keyof LogFields, 'error' | 'inputs'>;

/** Output name of each plain field. `inputs` and `error` are written separately; undeclared fields are not written. */
const FIELD_NAMES: Readonly<Record<FieldName, string>> = {
  requestId: 'request_id',
  service: 'service',
  className: 'class',
  workspace: 'workspace',
  code: 'code',
  upstream: 'upstream',
  vm: 'vm',
  dataCentre: 'data_centre',
  generation: 'generation',
  traceId: 'trace_id',
  durationMs: 'duration_ms',
  count: 'count',
  operator: 'operator',
};

const toErrorRecord = (thrown: unknown, withStack: boolean): LogRecord => {
  if (!(thrown instanceof Error)) return { error: sanitizeText(typeof thrown) };
  return {
    error: sanitizeText(`${thrown.name}: ${thrown.message}`),
    ...(thrown instanceof SardinegradeError ? { code: thrown.code } : {}),
    ...(withStack && thrown.stack !== undefined ? { stack: sanitizeText(thrown.stack) } : {}),
  };
};

/**
 * Builds the content of a log line from the declared fields, the entries of `inputs` and the error.
 *
 * @param fields - fields of the log event
 * @param withStack - whether to include the stack of `fields.error`
 * @returns output names and sanitized values
 */
export const toRecord = (fields: LogFields, withStack: boolean): LogRecord => {
  const record: Record<string, string | number | boolean> = {};
  for (const [field, name] of Object.entries(FIELD_NAMES)) {
    const value = fields[field as FieldName];
    if (value === undefined) continue;
    record[name] = typeof value === 'number' ? value : sanitizeText(value);
  }
  for (const [name, value] of Object.entries(fields.inputs ?? {})) {
    if (value !== undefined) record[name] = typeof value === 'string' ? sanitizeText(value) : value;
  }
  if (fields.error === undefined) return record;
  return { ...toErrorRecord(fields.error, withStack), ...record };
};
