import { SampleKind } from './enums.js';
import { INITIAL_LIMIT, MAX_LIMIT, reduceLimit } from './reduceLimit.js';

import type { LimitState } from './reduceLimit.js';
import type { PaceSample } from './types.js';

/** Samples that are kept of an instance: at three answers a second the last ten seconds. */
const MAX_SAMPLES = 32;

/** Time in which a sample loses half of its weight, in milliseconds: a worker that gets no requests becomes unknown. */
const AGE_HALF_LIFE_MS = 20_000;

/** Newer samples after which a sample has half of its weight: a change of speed shows after as many. */
const RANK_HALF_LIFE = 10;

interface TimedSample {
  readonly sample: PaceSample;
  readonly atMs: number;
}

/** Weighted median of the recent samples, and the weight of the evidence for it. */
export interface PaceEstimate {
  readonly median: number;
  /** Number of samples, each weighted by its age. */
  readonly evidence: number;
}

interface WeightedValue {
  readonly value: number;
  readonly weight: number;
}

const NO_ESTIMATE: PaceEstimate = { median: 1, evidence: 0 };

const findWeightedMedian = (values: readonly WeightedValue[]): number => {
  const sorted = [...values].sort((left, right) => left.value - right.value);
  const half = sorted.reduce((sum, { weight }) => sum + weight, 0) / 2;
  let sum = 0;
  for (const { value, weight } of sorted) {
    sum += weight;
    if (sum >= half) return value;
  }
  return 1;
};

const computeAgeWeight = (ageMs: number): number => 2 ** (-Math.max(0, ageMs) / AGE_HALF_LIFE_MS);

/**
 * The last samples of one worker instance. A median follows neither the noise of an engine (15 % of the time 2.5 times
 * slower) nor answers that were fast because the engine had cached more than expected.
 */
export class PaceWindow {
  #answers: readonly TimedSample[] = [];
  #gaps: readonly TimedSample[] = [];
  #limit: LimitState = { limit: MAX_LIMIT, cutAtMs: Number.NEGATIVE_INFINITY };
  /** When it was created or a sample was last added, in milliseconds. */
  changedAtMs: number;
  /** Whether it is known whether the instance started after the others of its service. */
  isClassified = false;

  /** @param nowMs - current time, in milliseconds */
  constructor(nowMs: number) {
    this.changedAtMs = nowMs;
  }

  /** Requests of all VMs above which others are preferred. */
  get limit(): number {
    return this.#limit.limit >= MAX_LIMIT ? Infinity : this.#limit.limit;
  }

  /** Adds a sample that became known at a time. */
  add(sample: PaceSample, nowMs: number): void {
    this.changedAtMs = nowMs;
    const timed = { sample, atMs: nowMs };
    if (sample.kind === SampleKind.StreamEnd) {
      this.#gaps = [...this.#gaps, timed].slice(-MAX_SAMPLES);
      return;
    }
    this.#answers = [...this.#answers, timed].slice(-MAX_SAMPLES);
    this.#limit = reduceLimit(this.#limit, sample.kind === SampleKind.Bad, nowMs);
  }

  /** Lowers the limit to that of an instance that has just started and has given these answers. */
  startSmall(): void {
    let state: LimitState = { limit: INITIAL_LIMIT, cutAtMs: Number.NEGATIVE_INFINITY };
    for (const { sample, atMs } of this.#answers)
      state = reduceLimit(state, sample.kind === SampleKind.Bad, atMs);
    this.#limit = state;
  }

  /** @returns number of good and bad answers, each weighted by its age */
  countAnswers(nowMs: number): number {
    return this.#answers.reduce((sum, { atMs }) => sum + computeAgeWeight(nowMs - atMs), 0);
  }

  /** @returns the estimated multiple of the nominal prefill rate */
  estimateSpeed(nowMs: number): PaceEstimate {
    return this.#estimate(this.#answers, ({ speed }) => speed, nowMs);
  }

  /** @returns the estimated longest gap of a stream without other runs, in milliseconds */
  estimateGap(nowMs: number): PaceEstimate {
    return this.#estimate(this.#gaps, ({ gapMs }) => gapMs, nowMs);
  }

  /** @returns the samples, oldest first */
  list(): readonly PaceSample[] {
    return [...this.#answers, ...this.#gaps].map(({ sample }) => sample);
  }

  #estimate(
    samples: readonly TimedSample[],
    read: (sample: PaceSample) => number | undefined,
    nowMs: number,
  ): PaceEstimate {
    let evidence = 0;
    let rank = 0;
    const values: WeightedValue[] = [];
    for (const { sample, atMs } of [...samples].reverse()) {
      const value = read(sample);
      if (value === undefined) continue;
      const ageWeight = computeAgeWeight(nowMs - atMs);
      evidence += ageWeight;
      values.push({ value, weight: ageWeight * 2 ** (-rank / RANK_HALF_LIFE) });
      rank += 1;
    }
    return values.length === 0 ? NO_ESTIMATE : { median: findWeightedMedian(values), evidence };
  }
}
