import type { UpstreamId } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';

/** What is known of one worker of a plain service when a request is placed. */
export interface WorkerView {
  readonly id: UpstreamId;
  /** Requests of this VM that it runs. */
  readonly runs: number;
  readonly isLocal: boolean;
  readonly isAvoided: boolean;
  /** Share of its latest answers that failed, between 0 and 1. */
  readonly failureShare: number;
}

/** Costs in units of one running request. */
const REMOTE_COST = 0.5;
const FAILURE_COST = 4;
const AVOIDED_COST = 1_000;

/**
 * Chooses the worker with the fewest requests of this VM, the nearer and sounder one where they are equal.
 *
 * Load pattern: short requests to a few small workers, some of which fail while their health check passes.
 *
 * @param workers - the workers that may run the request
 * @param random - breaks ties, so that VMs do not all choose alike
 * @returns the worker, or undefined where there is none
 */
export const chooseWorker = (
  workers: readonly WorkerView[],
  random: RandomSource,
): UpstreamId | undefined => {
  let best: { readonly id: UpstreamId; readonly cost: number } | undefined;
  for (const worker of workers) {
    const cost =
      worker.runs +
      (worker.isLocal ? 0 : REMOTE_COST) +
      worker.failureShare * FAILURE_COST +
      (worker.isAvoided ? AVOIDED_COST : 0) +
      random() * REMOTE_COST;
    if (best === undefined || cost < best.cost) best = { id: worker.id, cost };
  }
  return best?.id;
};
