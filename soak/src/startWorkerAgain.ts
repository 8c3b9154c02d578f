import { sleep } from './sleep.js';
import { LinkFault } from './SoakProxy.js';

import type { SoakWorker } from './SoakWorker.js';
import type { WorkerEntries } from './WorkerEntries.js';

/** Time for which a worker is down that starts again, and after which it writes its entry, in milliseconds. */
const DOWN_MS = 200;
const REGISTER_MS = 500;

/**
 * Has a worker start again under its id and address, as another version.
 *
 * @param workers - the workers that are in use
 * @param target - position of the worker among them, as a fraction from 0 up to 1
 * @param entries - the entries of the workers in the store
 */
export const startWorkerAgain = async (
  workers: readonly SoakWorker[],
  target: number,
  entries: WorkerEntries,
): Promise<void> => {
  const worker = workers[Math.floor(target * workers.length)];
  if (worker === undefined) return;
  worker.proxy.setFault(LinkFault.Reset);
  worker.startAs(`${worker.version}r`);
  await sleep(DOWN_MS);
  worker.proxy.setFault(LinkFault.None);
  await sleep(REGISTER_MS);
  if (workers.includes(worker)) entries.write(worker, 'ready');
};
