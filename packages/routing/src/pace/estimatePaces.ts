import { PRIOR_PACE } from './types.js';

import type { PaceEstimate, PaceWindow } from './PaceWindow.js';
import type { WorkerPace } from './types.js';

/** Evidence from which on an estimate counts in full; below, it is pulled to the mean of the service's workers. */
const FULL_EVIDENCE = 24;

/** Answers, weighted by age, below which a worker gets trials if most others have more. */
const MIN_ANSWERS = 2;

/** Answers, weighted by age, from which on a worker does not count as just started. */
const ESTABLISHED_ANSWERS = 12;

/** Limits of one estimate as a multiple of the nominal value: a single broken worker must not move the mean. */
const MAX_RATIO = 4;

/**
 * Logarithm of the ratio to the mean below which a worker counts as equal to the others: the error of a median of 24
 * samples. Without it even workers would be placed on by noise.
 */
const EQUAL_BAND = 0.15;

interface WorkerEstimate {
  readonly instance: number;
  readonly window: PaceWindow | undefined;
  readonly answers: number;
  readonly speed: PaceEstimate;
  readonly gap: PaceEstimate;
}

const NO_ESTIMATE: PaceEstimate = { median: 1, evidence: 0 };

const computeWeight = ({ evidence }: PaceEstimate): number => Math.min(1, evidence / FULL_EVIDENCE);

/** Mean of the logarithms of the estimates, by their evidence; undefined without any. */
const computeMeanLog = (estimates: readonly PaceEstimate[], bound: number): number | undefined => {
  let [sum, weights] = [0, 0];
  for (const estimate of estimates) {
    const weight = computeWeight(estimate);
    sum += weight * Math.max(-bound, Math.min(bound, Math.log(estimate.median)));
    weights += weight;
  }
  return weights === 0 ? undefined : sum / weights;
};

/** Ratio of an estimate to the mean, pulled to 1 without evidence, and 1 if the difference is no more than noise. */
const computeRatio = (estimate: PaceEstimate, meanLog: number): number => {
  const weight = computeWeight(estimate);
  if (weight === 0) return 1;
  const bound = Math.log(MAX_RATIO);
  const difference = (Math.log(estimate.median) - meanLog) * weight;
  return Math.abs(difference) <= EQUAL_BAND
    ? 1
    : Math.exp(Math.max(-bound, Math.min(bound, difference)));
};

const toEstimate = (
  instance: number,
  window: PaceWindow | undefined,
  nowMs: number,
): WorkerEstimate => ({
  instance,
  window,
  answers: window?.countAnswers(nowMs) ?? 0,
  speed: window?.estimateSpeed(nowMs) ?? NO_ESTIMATE,
  gap: window?.estimateGap(nowMs) ?? NO_ESTIMATE,
});

/** Gives instances that appear while the others have been answering a small limit. */
const classifyNew = ({ window, answers }: WorkerEstimate, isAmongEstablished: boolean): void => {
  if (window === undefined || window.isClassified) return;
  window.isClassified = true;
  if (isAmongEstablished && answers < ESTABLISHED_ANSWERS) window.startSmall();
};

/**
 * Estimates the paces of the workers of one service.
 *
 * Load pattern: engines of unequal speed, of which each VM sees few answers. Speeds are relative to the mean of the
 * service's workers: what delays all answers alike, such as links, or estimates of backlogs that are too low, cancels out.
 *
 * @param instances - hashes of the ids of the worker instances of the service
 * @param windows - samples by instance; an instance without any gets none
 * @param nowMs - current time, in milliseconds
 * @returns the pace of each instance
 */
export const estimatePaces = (
  instances: readonly number[],
  windows: ReadonlyMap<number, PaceWindow>,
  nowMs: number,
): ReadonlyMap<number, WorkerPace> => {
  const estimates = instances.map((instance) => toEstimate(instance, windows.get(instance), nowMs));
  const known = estimates.filter(({ answers }) => answers >= MIN_ANSWERS).length;
  const isMostlyKnown = known * 2 > instances.length;
  const meanSpeed = computeMeanLog(
    estimates.map(({ speed }) => speed),
    Math.log(MAX_RATIO),
  );
  const meanGap = computeMeanLog(
    estimates.map(({ gap }) => gap),
    Infinity,
  );
  const paces = new Map<number, WorkerPace>();
  for (const estimate of estimates) {
    const { instance, window, answers, speed, gap } = estimate;
    classifyNew(estimate, isMostlyKnown);
    const limit = window?.limit ?? PRIOR_PACE.limit;
    paces.set(instance, {
      speed: meanSpeed === undefined ? 1 : computeRatio(speed, meanSpeed),
      gapMs: meanGap === undefined ? undefined : Math.exp(meanGap) * computeRatio(gap, meanGap),
      limit,
      needsTrials: isMostlyKnown && (answers < MIN_ANSWERS || limit < Infinity),
      evidence: speed.evidence,
    });
  }
  return paces;
};
