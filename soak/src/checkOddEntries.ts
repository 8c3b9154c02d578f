import type { AnswerRecord, Violation } from './SoakLedger.js';

/** Time in which an odd entry stood among those of the workers, in milliseconds of the monotonic clock. */
export interface OddPeriod {
  readonly kind: string;
  readonly startMs: number;
  readonly endMs: number;
}

const listDuring = (
  answers: readonly AnswerRecord[],
  { startMs, endMs }: OddPeriod,
): readonly AnswerRecord[] =>
  answers.filter(
    ({ sentAtMs, isVmUndisturbed }) => isVmUndisturbed && sentAtMs >= startMs && sentAtMs < endMs,
  );

const isUnanswered = ({ status }: AnswerRecord): boolean => status === 0;

/**
 * Describes how many requests got an answer while odd entries were there.
 *
 * @param answers - what callers received
 * @param periods - when odd entries were there
 * @returns one line for each entry
 */
export const describeOddEntries = (
  answers: readonly AnswerRecord[],
  periods: readonly OddPeriod[],
): readonly string[] =>
  periods.map((period) => {
    const during = listDuring(answers, period);
    const unanswered = during.filter(isUnanswered).length;
    return `odd entry (${period.kind}): ${unanswered} of ${during.length} requests without an answer`;
  });

/**
 * Checks that each request gets an answer while an odd entry is there.
 *
 * @param answers - what callers received
 * @param periods - when odd entries were there
 * @returns one violation for each request without an answer
 */
export const checkOddEntries = (
  answers: readonly AnswerRecord[],
  periods: readonly OddPeriod[],
): readonly Violation[] =>
  periods.flatMap((period) =>
    listDuring(answers, period)
      .filter(isUnanswered)
      .map(({ id, kind, vm }) => ({
        rule: 'an answer beside odd entries',
        requestId: id,
        detail: `${kind} at ${vm}: no answer beside an entry with ${period.kind}`,
      })),
  );
