import { RESULT_ADVICE } from '@sardinegrade/common';

import { ExitCode } from '../enums.js';
import { CommandError } from '../errors.js';

import type { ResultCode } from '@sardinegrade/common';
import type { CommandResult } from '../types.js';

/**
 * Lines without a request id, such as state changes, are shown if they were logged at most this long
 * before the first line of the request.
 */
const CONTEXT_BEFORE_MS = 3_000;

/** Lines without a request id are shown if they were logged at most this long after the last line of the request. */
const CONTEXT_AFTER_MS = 500;

const MS_PER_SECOND = 1_000;

/** One parsed line of a daemon's log. */
interface LogLine {
  readonly atMs: number;
  readonly vm: string;
  readonly message: string;
  readonly requestId: string | undefined;
  readonly code: number | undefined;
  readonly fields: Readonly<Record<string, unknown>>;
}

const toText = (value: unknown): string => (typeof value === 'string' ? value : '');

/** Parses a log line; text before the JSON, such as the prefix of a log collector, is skipped. */
const parseLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const parsed = JSON.parse(text.slice(start)) as Record<string, unknown>;
    const { time, vm, message, request_id: requestId, code, ...fields } = parsed;
    const atMs = Date.parse(toText(time));
    if (Number.isNaN(atMs)) return undefined;
    return {
      atMs,
      vm: toText(vm),
      message: toText(message),
      requestId: typeof requestId === 'string' ? requestId : undefined,
      code: typeof code === 'number' ? code : undefined,
      fields,
    };
  } catch {
    // Not JSON: a log may contain lines of other programs.
    return undefined;
  }
};

/** Whether a line belongs to the request, or has no request id and was logged on one of its VMs around that time. */
const isRelated = (line: LogLine, requestLines: readonly LogLine[], requestId: string): boolean => {
  if (line.requestId !== undefined) return line.requestId === requestId;
  const first = requestLines[0];
  const last = requestLines.at(-1);
  if (first === undefined || last === undefined) return false;
  const isNear =
    line.atMs >= first.atMs - CONTEXT_BEFORE_MS && line.atMs <= last.atMs + CONTEXT_AFTER_MS;
  return isNear && requestLines.some(({ vm }) => vm === line.vm);
};

const renderLine = (line: LogLine, startMs: number): string => {
  const seconds = ((line.atMs - startMs) / MS_PER_SECOND).toFixed(3).padStart(8);
  const marker = line.requestId === undefined ? ' ' : '*';
  const fields = Object.entries(line.fields)
    .filter(([name]) => name !== 'level')
    .map(([name, value]) => `${name}=${String(value)}`);
  return [`${seconds} ${marker} ${line.vm}: ${line.message}`, ...fields].join('  ');
};

const isResultCode = (code: number): code is ResultCode => code in RESULT_ADVICE;

const renderAdvice = (lines: readonly LogLine[]): readonly string[] => {
  const code = lines.findLast((line) => line.code !== undefined)?.code;
  if (code === undefined || !isResultCode(code)) return [];
  const { meaning, nextStep } = RESULT_ADVICE[code];
  return ['', `Code ${code}: ${meaning} ${nextStep}`];
};

/**
 * Describes one request with the log lines of VMs.
 *
 * @param requestId - id of the request
 * @param text - logs of one or more VMs, with lines in any order
 * @returns the lines of the request in time order, with the lines without a request id, such as
 *   state changes, of its VMs around that time
 * @throws CommandError if no line has the request id
 */
export const describeFromLog = (requestId: string, text: string): CommandResult => {
  const lines = text
    .split('\n')
    .flatMap((line) => parseLine(line) ?? [])
    .sort((left, right) => left.atMs - right.atMs);
  const requestLines = lines.filter((line) => line.requestId === requestId);
  const [first] = requestLines;
  if (first === undefined) {
    throw new CommandError(
      ExitCode.NotFound,
      `No line of the log names request '${requestId}'.`,
      'Routine successes are sampled; failures and late answers always have lines. Give the logs of all VMs.',
    );
  }
  const related = lines.filter((line) => isRelated(line, requestLines, requestId));
  const rendered = related.map((line) => renderLine(line, first.atMs));
  return { value: related, text: [...rendered, ...renderAdvice(requestLines)].join('\n') };
};
