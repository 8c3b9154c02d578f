import type { EngineView } from '../placement/index.js';

/** Share of the requests that go to a worker for trial, as a multiple of its part of all workers. */
const TRIAL_SHARE = 0.5;

/** Requests of all VMs at a worker above which it gets no trial. */
const MAX_TRIAL_RUNS = 2;

const canTry = ({ pace, runs, isAvoided }: EngineView): boolean =>
  pace?.needsTrials === true && !isAvoided && runs < Math.min(MAX_TRIAL_RUNS, pace.limit);

/**
 * Chooses a worker for trial: one that has just started or recovered, or that has had no requests for some time.
 *
 * Load pattern: a fresh engine has no cached parts, so that no VM sends it anything, or all VMs do at once since it is
 * idle. Each VM sends it the same small share of its requests, which needs no agreement.
 *
 * @param engines - the engines that may run the request
 * @param draw - random number from 0 to 1, the same whenever the request is placed: one that waits is placed often
 * @returns the engine, or undefined if the request is no trial
 */
export const chooseTrial = (
  engines: readonly EngineView[],
  draw: number,
): EngineView | undefined => {
  const candidates = engines.filter(canTry);
  if (candidates.length === 0 || candidates.length === engines.length) return undefined;
  return candidates[Math.floor((draw * engines.length) / TRIAL_SHARE)];
};
