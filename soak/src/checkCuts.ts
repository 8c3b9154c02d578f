import type { AnswerRecord, Violation } from './SoakLedger.js';
import type { VmLinkFault } from './VmLinks.js';

/** Time in which some VMs were cut off from all workers, in milliseconds of the monotonic clock. */
export interface CutPeriod {
  /** Names of the VMs that were cut off. */
  readonly vms: ReadonlySet<string>;
  /** How their connections to the workers failed. */
  readonly fault: VmLinkFault;
  /** Number of all VMs. */
  readonly fleetSize: number;
  readonly startMs: number;
  readonly endMs: number;
}

/** First tries of callers, and how many of them were served and failed. */
interface TryCounts {
  readonly tries: number;
  readonly served: number;
  readonly failed: number;
}

/** Time after the begin of a cut from which the rule counts, in milliseconds: the stable window. */
const STABLE_MS = 3_000;

/** Share of the other VMs' rate of served first tries that cut-off VMs must reach. */
const SERVED_RATIO = 2 / 3;

/** First tries that may fail at cut-off VMs: a fixed number, plus a share of the first tries at all VMs. */
const FAILED_SLACK = 10;
const FAILED_SHARE = 1 / 50;

/** The configuration allows to refuse these, so they are not counted as tries. */
const INVALID_KEY_STATUS = 401;

const countTries = (answers: readonly AnswerRecord[]): TryCounts => {
  const tries = answers.length;
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete).length;
  return { tries, served, failed: tries - served };
};

/** Leaves out the tries before the first and after the last of those that they are compared with. */
const filterByTime = (
  tries: readonly AnswerRecord[],
  compared: readonly AnswerRecord[],
): readonly AnswerRecord[] => {
  const times = compared.map(({ sentAtMs }) => sentAtMs);
  const [firstMs, lastMs] = [Math.min(...times), Math.max(...times)];
  return tries.filter(({ sentAtMs }) => sentAtMs >= firstMs && sentAtMs <= lastMs);
};

/**
 * Counts the first tries at the VMs that were cut off, and at the others: those at VMs in touch, for which the rule holds,
 * while a VM with links was in touch, too, and those at the others while there were any at VMs that were cut off: rates of
 * different times cannot be compared, as workers may have failed or come meanwhile.
 */
const countCut = (
  answers: readonly AnswerRecord[],
  { vms, startMs, endMs }: CutPeriod,
): readonly [TryCounts, TryCounts] => {
  const tries = answers.filter(
    ({ earlier, status, sentAtMs, isVmUndisturbed, isInTouch, hasReferenceVm }) =>
      earlier === undefined &&
      status !== INVALID_KEY_STATUS &&
      isVmUndisturbed &&
      isInTouch &&
      hasReferenceVm &&
      sentAtMs >= startMs + STABLE_MS &&
      sentAtMs < endMs,
  );
  const cutTries = tries.filter(({ vm }) => vms.has(vm));
  const otherTries = tries.filter(({ vm }) => !vms.has(vm));
  return [countTries(cutTries), countTries(filterByTime(otherTries, cutTries))];
};

const describeCut = (
  { vms, fleetSize, fault }: CutPeriod,
  cut: TryCounts,
  others: TryCounts,
): string =>
  `${vms.size} of ${fleetSize} VMs cut off from all workers (${fault}): first tries there served ${cut.served} of ${cut.tries}, ` +
  `failed ${cut.failed}; at the others served ${others.served} of ${others.tries}`;

const isPartial = ({ vms, fleetSize }: CutPeriod): boolean => vms.size < fleetSize;

/**
 * Describes how callers were served at VMs that were cut off from all workers, and at the others.
 *
 * @param answers - what callers received
 * @param cuts - the cuts, those of all VMs included
 * @returns one line for each cut
 */
export const describeCuts = (
  answers: readonly AnswerRecord[],
  cuts: readonly CutPeriod[],
): readonly string[] => cuts.map((period) => describeCut(period, ...countCut(answers, period)));

/**
 * Checks that VMs that are cut off from all workers serve their callers while other VMs reach the workers.
 *
 * @param answers - what callers received
 * @param cuts - the cuts; those of all VMs are not checked
 * @returns one violation for each cut in which too many first tries failed
 */
export const checkCuts = (
  answers: readonly AnswerRecord[],
  cuts: readonly CutPeriod[],
): readonly Violation[] =>
  cuts.filter(isPartial).flatMap((period) => {
    const [cut, others] = countCut(answers, period);
    const isServed = cut.served * others.tries >= SERVED_RATIO * others.served * cut.tries;
    const allowed = FAILED_SLACK + FAILED_SHARE * (cut.tries + others.tries);
    if (isServed || cut.failed <= allowed) return [];
    const detail = describeCut(period, cut, others);
    return [{ rule: 'callers of cut-off VMs', requestId: '-', detail }];
  });
