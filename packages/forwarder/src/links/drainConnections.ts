import { setTimeout as sleep } from 'node:timers/promises';

import { DRAIN_CHECK_INTERVAL_MS, NO_TUNNELS_BEFORE_END_MS } from './constants.js';

import type { TunnelServer } from './TunnelServer.js';

const waitUntil = async (isMet: () => boolean, endAtMs: number): Promise<void> => {
  while (!isMet() && performance.now() < endAtMs) await sleep(DRAIN_CHECK_INTERVAL_MS);
};

/**
 * Waits until a process that accepts no further requests of callers may end. As long as it has to wait for those that it has
 * accepted, it passes on tunnels of other VMs, which do not make it wait longer than for what is open then.
 *
 * @param front - counts the callers' requests in progress
 * @param tunnels - passes on tunnels
 * @param deadlineAtMs - when the process ends in any case, in milliseconds of the performance clock
 */
export const drainConnections = async (
  front: { readonly openExchanges: number },
  tunnels: TunnelServer,
  deadlineAtMs: number,
): Promise<void> => {
  const countEarlier = tunnels.watchOpen();
  const hasEarlierEnded = (): boolean => front.openExchanges + countEarlier() === 0;
  await waitUntil(hasEarlierEnded, deadlineAtMs - NO_TUNNELS_BEFORE_END_MS);
  tunnels.stopAccepting();
  await waitUntil(() => front.openExchanges + tunnels.count === 0, deadlineAtMs);
};
