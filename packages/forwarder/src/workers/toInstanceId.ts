import { toBranded } from '@sardinegrade/common';

import type { UpstreamId } from '@sardinegrade/common';
import type { Worker } from '@sardinegrade/routing';

/** Builds the id of a worker instance, that is, one process of a worker: a crash counts once per instance. */
export const toInstanceId = (worker: Worker): UpstreamId =>
  toBranded(`${worker.id}@${worker.startedAtMs}`);
