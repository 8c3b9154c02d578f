import type { AnswerRecord, RunRecord, Violation } from './SoakLedger.js';

/** A request that a worker refused, naming RETRY_AFTER_S. */
export interface RefusalRecord {
  readonly id: string;
  readonly worker: string;
  readonly atMs: number;
  /** When the answer was passed on to the VM; undefined if a fault of the link has dropped it. */
  readonly passedAtMs: number | undefined;
}

type Runs = ReadonlyMap<string, readonly RunRecord[]>;

/** Time after which a worker that refuses requests asks to be tried again, in seconds. */
export const RETRY_AFTER_S = 2;

/** Time after the VM got the refusal in which requests may still be on their way, in milliseconds. */
const ON_THE_WAY_MS = 500;

/** Requests of one VM that may reach the worker from then on until the time that it named has passed. */
const MAX_EARLY_REQUESTS = 2;

/** A refusal, and the requests that reached the worker too early after it. */
interface RefusalCount {
  readonly refusal: RefusalRecord;
  readonly vmProcess: string;
  readonly early: number;
}

/**
 * Counts the requests of the refused VM after each refusal that was passed on to it. Requests whose caller left have no
 * answer and count for no VM.
 */
const countEarly = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  refusals: readonly RefusalRecord[],
): readonly RefusalCount[] => {
  const processes = new Map(
    answers.map(({ id, vm, vmStartCount }) => [id, `${vm}/${vmStartCount}`]),
  );
  const refusingWorkers = new Set(refusals.map(({ worker }) => worker));
  const arrivals = [...[...runs.values()].flat(), ...refusals].filter(({ worker }) =>
    refusingWorkers.has(worker),
  );
  return refusals.flatMap((refusal) => {
    const vmProcess = processes.get(refusal.id);
    const { passedAtMs } = refusal;
    if (vmProcess === undefined || passedAtMs === undefined) return [];
    const early = arrivals.filter(
      ({ id, worker, atMs }) =>
        worker === refusal.worker &&
        processes.get(id) === vmProcess &&
        atMs > passedAtMs + ON_THE_WAY_MS &&
        atMs < refusal.atMs + RETRY_AFTER_S * 1_000,
    ).length;
    return [{ refusal, vmProcess, early }];
  });
};

/**
 * Describes how VMs kept to the time that refusing workers named.
 *
 * @param answers - what callers received
 * @param runs - runs of each request at workers
 * @param refusals - what workers refused
 * @returns one line, or none if no worker refused a request
 */
export const describeRefusals = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  refusals: readonly RefusalRecord[],
): readonly string[] => {
  if (refusals.length === 0) return [];
  const worst = Math.max(0, ...countEarly(answers, runs, refusals).map(({ early }) => early));
  const passed = refusals.filter(({ passedAtMs }) => passedAtMs !== undefined).length;
  return [
    `${refusals.length} requests refused with a time, ${passed} answers passed on: up to ${worst} requests of one VM reached the worker before it had passed`,
  ];
};

/**
 * Checks that VMs keep to the time that refusing workers named.
 *
 * @param answers - what callers received
 * @param runs - runs of each request at workers
 * @param refusals - what workers refused
 * @returns one violation for each refusal after which a VM sent too many requests to the worker
 */
export const checkRefusals = (
  answers: readonly AnswerRecord[],
  runs: Runs,
  refusals: readonly RefusalRecord[],
): readonly Violation[] =>
  countEarly(answers, runs, refusals)
    .filter(({ early }) => early > MAX_EARLY_REQUESTS)
    .map(({ refusal: { id, worker }, vmProcess, early }) => ({
      rule: 'times that workers name',
      requestId: id,
      detail: `${early} requests of ${vmProcess} reached ${worker} within the ${RETRY_AFTER_S} s that it had named`,
    }));
