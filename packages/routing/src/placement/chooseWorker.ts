import type { UpstreamId } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';

/** State of one worker of a plain service when a request is placed. */
export interface WorkerView {
  readonly id: UpstreamId;
  /** Number of this VM's requests that it runs. */
  readonly runs: number;
  /** Whether it is in this VM's data centre. */
  readonly isLocal: boolean;
  /** Whether it is used only if no other worker is left: it failed, or its data centre is unreachable. */
  readonly isAvoided: boolean;
  /** Moving average of the failure rate of its requests, between 0 and 1. */
  readonly failureShare: number;
}

/** Cost of a worker in another data centre. The unit of all costs is one running request. */
const REMOTE_COST = 0.5;

/** Cost of a failure rate of 1. */
const FAILURE_COST = 4;

/** Cost of a worker that is avoided. It exceeds any number of running requests. */
const AVOIDED_COST = 1_000;

/**
 * Chooses the worker with the fewest requests of this VM; among equal ones a local worker with few failures.
 *
 * Load pattern: short requests to a few small workers, some of which fail requests although their health check passes.
 *
 * @param workers - the workers that may run the request
 * @param random - breaks ties, so that not all VMs choose the same worker
 * @returns the worker's id, or undefined if there is none
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
