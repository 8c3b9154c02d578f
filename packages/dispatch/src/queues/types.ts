import type { WorkspaceName } from '@sardinegrade/common';

/** What a queue needs to know of an ask. */
export interface QueueItem {
  readonly ask: { readonly arrivedAtMs: number; readonly workspace: WorkspaceName };
  /** Tokens that the ask is estimated to take. */
  readonly cost: number;
  /** Order among equal arrival times. */
  readonly sequence: number;
  /** Whether it waits in a queue; the queue's own mark. */
  isQueued: boolean;
}
