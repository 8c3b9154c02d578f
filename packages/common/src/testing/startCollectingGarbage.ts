import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

const COLLECT_INTERVAL_MS = 10;

/**
 * Collects garbage again and again, so that what nothing holds is soon gone.
 *
 * @returns stops the collections
 */
export const startCollectingGarbage = (): (() => void) => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  const timer = setInterval(collect, COLLECT_INTERVAL_MS);
  return () => {
    clearInterval(timer);
  };
};
