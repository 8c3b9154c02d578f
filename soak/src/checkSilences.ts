import { ROUTE_TIMEOUT_MS } from './timeLimits.js';

import type { AnswerRecord, RunRecord, Violation } from './SoakLedger.js';

/** Time in which a sound worker said nothing, in milliseconds of the monotonic clock. */
export interface SilentPeriod {
  readonly worker: string;
  readonly startMs: number;
  readonly endMs: number;
}

type Runs = ReadonlyMap<string, readonly RunRecord[]>;

/** Time before the time limit of a request from which its end counts as caused by the limit, in milliseconds. */
const LIMIT_SLACK_MS = 100;

/** Statuses that say neither what a worker answered nor that the request has not run. */
const LOST_STATUSES: ReadonlySet<number> = new Set([0, 500, 502, 504]);

/**
 * Lists the answers to requests that a silent worker ran. Left out are those whose VM, workers, links or store had
 * a fault and those that reached their time limit.
 */
const listMet = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  silences: readonly SilentPeriod[],
): readonly AnswerRecord[] =>
  answers.filter(({ id, sentAtMs, endedAtMs, deadlineMs, isVmUndisturbed, wasStable }) => {
    const limitMs = Math.min(deadlineMs, ROUTE_TIMEOUT_MS) - LIMIT_SLACK_MS;
    if (!isVmUndisturbed || !wasStable || endedAtMs - sentAtMs >= limitMs) return false;
    return (runs.get(id) ?? []).some(({ worker, atMs }) =>
      silences.some(
        (silence) =>
          silence.worker === worker && atMs < silence.endMs && endedAtMs > silence.startMs,
      ),
    );
  });

const isLost = ({ status, isComplete }: AnswerRecord): boolean =>
  !isComplete || LOST_STATUSES.has(status);

/**
 * Describes what became of requests whose worker fell silent.
 *
 * @param answers - what callers received
 * @param runs - runs of each request at workers
 * @param silences - when workers were silent
 * @returns one line for each kind of request that met a silence
 */
export const describeSilences = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  silences: readonly SilentPeriod[],
): readonly string[] => {
  const met = listMet(answers, runs, silences);
  return [...new Set(met.map(({ kind }) => kind))].sort().map((kind) => {
    const ofKind = met.filter((answer) => answer.kind === kind);
    const lost = ofKind.filter(isLost).length;
    return `${silences.length} silences of workers, ${kind}: ${lost} of ${ofKind.length} requests without a whole answer`;
  });
};

/**
 * Checks that requests whose workers were only silent end with a whole answer or a refusal.
 *
 * @param answers - what callers received
 * @param runs - runs of each request at workers
 * @param silences - when workers were silent; each of them went on within 2 s
 * @returns one violation for each request that was lost
 */
export const checkSilences = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  silences: readonly SilentPeriod[],
): readonly Violation[] =>
  listMet(answers, runs, silences)
    .filter(isLost)
    .map(({ id, kind, vm, status, isComplete, sentAtMs, endedAtMs }) => ({
      rule: 'a whole answer',
      requestId: id,
      detail: `${kind} at ${vm}: ended with ${status}, ${isComplete ? 'complete' : 'incomplete'}, after ${Math.round(endedAtMs - sentAtMs)} ms`,
    }));
