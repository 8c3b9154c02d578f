import type { SampleKind } from './enums.js';

/** What one answer of a worker tells about its pace; VMs send it to each other. */
export interface PaceSample {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  readonly kind: SampleKind;
  /** Prefill rate as a multiple of the nominal one; undefined if the prompt was too short to tell. */
  readonly speed: number | undefined;
  /** Longest gap between two events of the stream without other runs, in milliseconds; undefined if unknown. */
  readonly gapMs: number | undefined;
}

/** What is known of the pace of a worker instance. */
export interface WorkerPace {
  /** Prefill rate as a multiple of that of the service's other workers, 1 without evidence. */
  readonly speed: number;
  /** Longest gap between two events of a stream without other runs, in milliseconds; undefined if unknown. */
  readonly gapMs: number | undefined;
  /** Number of requests of all VMs above which others are preferred. */
  readonly limit: number;
  /** Whether it has few recent answers, or has just started, while others of the service have many. */
  readonly needsTrials: boolean;
  /** Weight of the recent answers of which the speed is known. */
  readonly evidence: number;
}

/** Pace of a worker instance of which nothing is known. */
export const PRIOR_PACE: WorkerPace = {
  speed: 1,
  gapMs: undefined,
  limit: Infinity,
  needsTrials: false,
  evidence: 0,
};
