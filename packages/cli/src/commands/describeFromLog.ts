import { RESULT_ADVICE } from '@sardinegrade/common';

import { ExitCode } from '../enums.js';
import { CommandError } from '../errors.js';

import type { ResultCode } from '@sardinegrade/common';
import type { CommandResult } from '../types.js';

/** Changes of belief this long before a request's first line and after its last are shown with it. */
const BEFORE_MS = 3_000;
const AFTER_MS = 500;

const MS_PER_SECOND = 1_000;

/** One line of a daemon's log. */
interface LogLine {
  readonly atMs: number;
  readonly vm: string;
  readonly message: string;
  readonly requestId: string | undefined;
  readonly code: number | undefined;
  readonly fields: Readonly<Record<string, unknown>>;
}

const toText = (value: unknown): string => (typeof value === 'string' ? value : '');

/** Parses a line of a log; what stands before the JSON, such as a collector's prefix, is skipped. */
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
    // A log may hold lines of other programs, which say nothing of requests.
    return undefined;
  }
};

/** Whether a line tells of a request or of a change that may have touched it. */
const isRelated = (line: LogLine, own: readonly LogLine[], requestId: string): boolean => {
  if (line.requestId !== undefined) return line.requestId === requestId;
  const first = own[0];
  const last = own.at(-1);
  if (first === undefined || last === undefined) return false;
  const isNear = line.atMs >= first.atMs - BEFORE_MS && line.atMs <= last.atMs + AFTER_MS;
  return isNear && own.some(({ vm }) => vm === line.vm);
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
 * Tells the story of one request from the logs of VMs.
 *
 * @param requestId - the request
 * @param text - the logs, in any order
 * @returns its lines, with the changes of belief around them
 * @throws CommandError where no line names the request
 */
export const describeFromLog = (requestId: string, text: string): CommandResult => {
  const lines = text
    .split('\n')
    .flatMap((line) => parseLine(line) ?? [])
    .sort((left, right) => left.atMs - right.atMs);
  const own = lines.filter((line) => line.requestId === requestId);
  const [first] = own;
  if (first === undefined) {
    throw new CommandError(
      ExitCode.NotFound,
      `No line of the log names request '${requestId}'.`,
      'Routine successes are sampled; failures and late answers always have lines. Give the logs of all VMs.',
    );
  }
  const related = lines.filter((line) => isRelated(line, own, requestId));
  const rendered = related.map((line) => renderLine(line, first.atMs));
  return { value: related, text: [...rendered, ...renderAdvice(own)].join('\n') };
};
