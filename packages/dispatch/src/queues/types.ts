import type { WorkspaceName } from '@sardinegrade/common';

/** The fields of a request that the queues use. */
export interface QueueItem {
  readonly ask: { readonly arrivedAtMs: number; readonly workspace: WorkspaceName };
  /** Estimated cost in generated tokens. */
  readonly cost: number;
  /** Order of requests with the same arrival time. */
  readonly sequence: number;
  /** Whether the request is in a queue; set only by the queue. */
  isQueued: boolean;
}
