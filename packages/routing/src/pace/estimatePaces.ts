import { PRIOR_PACE } from './types.js';

import type { PaceEstimate, PaceWindow } from './PaceWindow.js';
import type { WorkerPace } from './types.js';

/** Evidence from which on an estimate counts in full; below, it is pulled to the median of the service's workers. */
const FULL_SPEED_EVIDENCE = 24;

/** The same for gaps, which vary less: they hold no estimate of a backlog. */
const FULL_GAP_EVIDENCE = 12;

/** Answers, weighted by age, from which on a worker counts as known: trials are for fleets that mostly are. */
const MIN_ANSWERS = 4;

/** Time without an answer after which a worker gets trials, in milliseconds: it may have recovered unnoticed. */
const IDLE_MS = 5_000;

/** Limit below which a worker counts as fresh or recovering. A few late answers of an established one do not lead there. */
const TRIAL_LIMIT = 16;

/** Answers, weighted by age, from which on a worker does not count as just started. */
const ESTABLISHED_ANSWERS = 12;

/**
 * Weight below which the gap of a worker counts as unknown. Pulled to the median of slow workers, a fast one with few samples
 * would miss the target for gaps, get no requests, and so never show that it is fast.
 */
const MIN_GAP_WEIGHT = 0.75;

/** Limits of a ratio to the median. */
const MAX_RATIO = 4;

/**
 * Logarithm of the ratio to the median below which a worker counts as equal to the others: the error of a median of 24
 * samples. Without it even workers would be placed on by noise.
 */
const EQUAL_BAND = 0.15;

/** Variance of the logarithms below which the medians of a fleet count as noise: differences of some 20 %. */
const NOISE_VARIANCE = 0.04;

/** Logarithm of the ratio to the median from which on a difference is no noise, whatever the other workers are like. */
const CERTAIN_DIFFERENCE = 0.5;

interface WorkerEstimate {
  readonly instance: number;
  readonly window: PaceWindow | undefined;
  readonly answers: number;
  readonly isIdle: boolean;
  readonly speed: WeightedEstimate;
  readonly gap: WeightedEstimate;
}

const NO_ESTIMATE: PaceEstimate = { median: 1, evidence: 0 };

/** An estimate and the share of it that counts. */
interface WeightedEstimate extends PaceEstimate {
  readonly weight: number;
}

const withWeight = (estimate: PaceEstimate, fullEvidence: number): WeightedEstimate => ({
  ...estimate,
  weight: Math.min(1, estimate.evidence / fullEvidence),
});

/** Distribution of the logarithms of the estimates for the workers of a service. */
interface Spread {
  /** Their median. */
  readonly centreLog: number;
  /** Share of their variance that is not noise: 0 for even workers. */
  readonly share: number;
}

/** Mean of weighted values; undefined if all weights are 0. */
const computeMean = (
  entries: readonly { readonly weight: number; readonly value: number }[],
): number | undefined => {
  const weights = entries.reduce((sum, { weight }) => sum + weight, 0);
  if (weights === 0) return undefined;
  return entries.reduce((sum, { weight, value }) => sum + weight * value, 0) / weights;
};

/**
 * Computes the distribution of the estimates, by their evidence; undefined without any. Workers that differ with
 * certainty do not make the noise of the others count.
 */
const computeSpread = (estimates: readonly WeightedEstimate[]): Spread | undefined => {
  const entries = estimates
    .filter(({ weight }) => weight > 0)
    .map(({ median, weight }) => ({ weight, value: Math.log(median) }))
    .sort((left, right) => left.value - right.value);
  const centreLog = entries[Math.floor(entries.length / 2)]?.value;
  if (centreLog === undefined) return undefined;
  const squares = entries
    .map(({ weight, value }) => ({ weight, value: (value - centreLog) ** 2 }))
    .filter(({ value }) => value < CERTAIN_DIFFERENCE ** 2);
  const variance = Math.max(NOISE_VARIANCE, computeMean(squares) ?? 0);
  return { centreLog, share: 1 - NOISE_VARIANCE / variance };
};

/** Ratio of an estimate to the median, pulled to 1 without evidence, and 1 if the difference is no more than noise. */
const computeRatio = (
  { median, weight }: WeightedEstimate,
  { centreLog, share }: Spread,
): number => {
  if (weight === 0) return 1;
  const bound = Math.log(MAX_RATIO);
  const measured = (Math.log(median) - centreLog) * weight;
  const difference = Math.abs(measured) < CERTAIN_DIFFERENCE ? measured * share : measured;
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
  isIdle: nowMs - (window?.answeredAtMs ?? Number.NEGATIVE_INFINITY) > IDLE_MS,
  speed: withWeight(window?.estimateSpeed(nowMs) ?? NO_ESTIMATE, FULL_SPEED_EVIDENCE),
  gap: withWeight(window?.estimateGap(nowMs) ?? NO_ESTIMATE, FULL_GAP_EVIDENCE),
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
 * Load pattern: engines of unequal speed, of which each VM sees few answers. Speeds are relative to the median of the
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
  const speeds = computeSpread(estimates.map(({ speed }) => speed));
  const gaps = computeSpread(estimates.map(({ gap }) => gap));
  const paces = new Map<number, WorkerPace>();
  for (const estimate of estimates) {
    const { instance, window, isIdle, speed, gap } = estimate;
    classifyNew(estimate, isMostlyKnown);
    const limit = window?.limit ?? PRIOR_PACE.limit;
    paces.set(instance, {
      speed: speeds === undefined ? 1 : computeRatio(speed, speeds),
      gapMs:
        gaps === undefined || gap.weight < MIN_GAP_WEIGHT
          ? undefined
          : Math.exp(gaps.centreLog) * computeRatio(gap, gaps),
      limit,
      needsTrials: isMostlyKnown && (isIdle || limit < TRIAL_LIMIT),
      evidence: speed.evidence,
    });
  }
  return paces;
};
