import { hashText } from '@sardinegrade/common';

import { toInstanceId } from './toInstanceId.js';

import type { Worker } from '@sardinegrade/routing';

/** Hashes the id of a worker instance, which identifies it in load messages. */
export const hashInstance = (worker: Worker): number => hashText(toInstanceId(worker));
