import type { UpstreamId } from '@sardinegrade/common';
import type { RandomSource } from '@sardinegrade/dispatch';

/** State of one worker of a plain service when a request is placed. */
export interface WorkerView {
  readonly id: UpstreamId;
  /** Number of requests that it runs: this VM's, or those of all VMs if they are shared. */
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
 * Difference of the requests of all VMs below which workers count as equal. All VMs know of the same loads, which are up to
 * 0.3 s old: if each chose the smallest one, all would choose the same worker until the next report.
 */
const SHARED_SPREAD_COST = 2;

/** VMs share the loads of a plain service if it has fewer workers than one for this number of VMs. */
const VMS_PER_WORKER = 4;

/**
 * Whether VMs report the load that they put on the workers of a plain service. If the workers are few, each runs requests of
 * most VMs, so that a VM's own requests tell little of its load.
 *
 * @param workerCount - number of workers of the service
 * @param vmCount - number of VMs
 * @returns whether they report it
 */
export const isPlainLoadShared = (workerCount: number, vmCount: number): boolean =>
  workerCount * VMS_PER_WORKER < vmCount;

/**
 * Chooses the worker with the fewest requests; among equal ones a local worker with few failures.
 *
 * Load pattern: short requests of many VMs to a few small workers, some of which fail requests although their health check
 * passes.
 *
 * @param workers - the workers that may run the request
 * @param random - breaks ties, so that not all VMs choose the same worker
 * @param isShared - whether the runs include those of other VMs
 * @returns the worker's id, or undefined if there is none
 */
export const chooseWorker = (
  workers: readonly WorkerView[],
  random: RandomSource,
  isShared = false,
): UpstreamId | undefined => {
  const spreadCost = isShared ? SHARED_SPREAD_COST : REMOTE_COST;
  let best: { readonly id: UpstreamId; readonly cost: number } | undefined;
  for (const worker of workers) {
    const cost =
      worker.runs +
      (worker.isLocal ? 0 : REMOTE_COST) +
      worker.failureShare * FAILURE_COST +
      (worker.isAvoided ? AVOIDED_COST : 0) +
      random() * spreadCost;
    if (best === undefined || cost < best.cost) best = { id: worker.id, cost };
  }
  return best?.id;
};
