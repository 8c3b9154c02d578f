import { formatSeal } from './formatSeal.js';

import type { AnswerRecord, RunRecord, Violation } from './SoakLedger.js';

/** A worker, and when it began to say in its answers that it is leaving, in milliseconds of the monotonic clock. */
export interface LeavingStart {
  readonly worker: string;
  readonly startMs: number;
}

type Runs = ReadonlyMap<string, readonly RunRecord[]>;

/** Time in which a VM that has passed on such an answer has to stop using the worker, in milliseconds. */
const LEAVING_LIMIT_MS = 2_000;

const formatProcess = ({ vm, vmStartCount }: AnswerRecord): string => `${vm}/${vmStartCount}`;

/** Finds when each process of a VM first passed on an answer in which the worker said that it is leaving. */
const findTold = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  { worker, startMs }: LeavingStart,
): ReadonlyMap<string, number> => {
  const told = new Map<string, number>();
  for (const answer of answers) {
    const { id, seal, headAtMs } = answer;
    const isFromWorker = seal === formatSeal(worker) && headAtMs !== undefined;
    if (!isFromWorker) continue;
    // A worker writes its headers after it has recorded the run.
    const runAtMs = (runs.get(id) ?? []).find((run) => run.worker === worker)?.atMs ?? 0;
    if (runAtMs < startMs) continue;
    const vmProcess = formatProcess(answer);
    told.set(vmProcess, Math.min(headAtMs, told.get(vmProcess) ?? Infinity));
  }
  return told;
};

const listLate = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  start: LeavingStart,
  told: ReadonlyMap<string, number>,
): readonly AnswerRecord[] =>
  answers.filter((answer) => {
    const limitMs = (told.get(formatProcess(answer)) ?? Infinity) + LEAVING_LIMIT_MS;
    if (answer.sentAtMs <= limitMs) return false;
    return (runs.get(answer.id) ?? []).some(({ worker }) => worker === start.worker);
  });

/**
 * Describes how many requests reached workers that had said that they are leaving.
 *
 * @param answers - what callers received
 * @param runs - runs of each request at workers
 * @param starts - the workers
 * @returns one line for each worker
 */
export const describeLeaving = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  starts: readonly LeavingStart[],
): readonly string[] =>
  starts.map((start) => {
    const told = findTold(answers, runs, start);
    const late = listLate(answers, runs, start, told);
    return `${start.worker} said that it leaves: ${told.size} VMs passed it on, ${late.length} later requests reached it`;
  });

/**
 * Checks that a VM that has passed on an answer of a worker that says it is leaving stops using the worker.
 *
 * @param answers - what callers received
 * @param runs - runs of each request at workers
 * @param starts - the workers
 * @returns one violation for each later request
 */
export const checkLeaving = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  starts: readonly LeavingStart[],
): readonly Violation[] =>
  starts.flatMap((start) => {
    const told = findTold(answers, runs, start);
    return listLate(answers, runs, start, told).map((answer) => {
      const lateMs = Math.round(answer.sentAtMs - (told.get(formatProcess(answer)) ?? 0));
      const detail = `reached ${start.worker} ${lateMs} ms after ${answer.vm} passed on that it leaves`;
      return { rule: 'workers that say they leave', requestId: answer.id, detail };
    });
  });
