import { DELAY_PER_RUN_MS, PREFILL_TOKENS_PER_MS } from '../placement/constants.js';
import { SampleKind } from './enums.js';

import type { PaceSample, WorkerPace } from './types.js';

/** Time to the first event of a prompt without tokens to prefill on an idle engine, in milliseconds. */
const MIN_FIRST_EVENT_MS = 16;

/** Prefill time below which the time to the first event tells nothing about the prefill rate, in milliseconds. */
const MIN_PREFILL_MS = 15;

/** A first event counts as late from this multiple of the expected time on: noise makes engines 2.5 times slower. */
const LATE_FACTOR = 4;

/** Allowance for load that other VMs have not reported yet, in milliseconds. */
const LATE_ALLOWANCE_MS = 200;

/** Growth of the longest gap with each further run, as a share of the gap without other runs. */
const GAP_GROWTH_PER_RUN = 0.01;

/** Fewest gaps of a stream from which its longest one is taken. */
const MIN_GAPS = 4;

/** State of an engine when a prompt was sent to it. */
export interface SendState {
  /** Tokens of the prompt that were not in its cache. */
  readonly uncachedTokens: number;
  /** Prompt tokens before it that the engine had yet to prefill, of all VMs. */
  readonly backlogTokens: number;
  /** Requests that it ran, of all VMs. */
  readonly runs: number;
}

/**
 * Computes what the time to a first event tells about a worker.
 *
 * Load pattern: engines of unequal speed, each with few answers a second at any one VM.
 *
 * @param instance - hash of the id of the worker instance
 * @param send - state of the engine when the prompt was sent
 * @param firstMs - time from the send to the first event, in milliseconds
 * @param pace - what was known of the worker before
 * @returns the sample
 */
export const measureFirstEvent = (
  instance: number,
  { uncachedTokens, backlogTokens, runs }: SendState,
  firstMs: number,
  pace: WorkerPace,
): PaceSample => {
  const prefillMs = (uncachedTokens + backlogTokens) / PREFILL_TOKENS_PER_MS;
  const nominalMs = prefillMs + runs * DELAY_PER_RUN_MS + MIN_FIRST_EVENT_MS;
  const isLate = firstMs > (nominalMs / pace.speed) * LATE_FACTOR + LATE_ALLOWANCE_MS;
  return {
    instance,
    kind: isLate ? SampleKind.Bad : SampleKind.OnTime,
    speed: prefillMs < MIN_PREFILL_MS ? undefined : nominalMs / Math.max(1, firstMs),
    gapMs: undefined,
  };
};

/**
 * Computes what the events of a complete stream tell about its worker.
 *
 * @param instance - hash of the id of the worker instance
 * @param stream - number of gaps, the longest one in milliseconds, and the engine's runs when the prompt was sent
 * @returns the sample, or undefined if the stream was too short
 */
export const measureStream = (
  instance: number,
  stream: { readonly gaps: number; readonly longestGapMs: number; readonly runs: number },
): PaceSample | undefined => {
  if (stream.gaps < MIN_GAPS) return undefined;
  const gapMs = stream.longestGapMs / (1 + stream.runs * GAP_GROWTH_PER_RUN);
  return { instance, kind: SampleKind.StreamEnd, speed: undefined, gapMs };
};

/**
 * Estimates the longest gap between two events of a stream on a worker.
 *
 * @param pace - what is known of the worker
 * @param runs - requests that the worker runs besides the stream
 * @returns the gap in milliseconds; 0 if nothing is known
 */
export const estimateGapMs = ({ gapMs = 0 }: WorkerPace, runs: number): number =>
  gapMs * (1 + runs * GAP_GROWTH_PER_RUN);
