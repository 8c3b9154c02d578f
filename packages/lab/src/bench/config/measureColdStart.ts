import { setTimeout as sleep } from 'node:timers/promises';

import { PartnerChoice } from '@sardinegrade/fleet';

import { NodeGroup } from '../control/nodes/index.js';

import type { RealFleet } from '../../integration/index.js';
import type { NodeStatus } from '../control/nodes/index.js';

/** The cost of starting all daemons of a data centre at the same time. */
export interface ColdStart {
  readonly daemons: number;
  /** Time from the start of the first process until every new daemon had the configuration. */
  readonly configuredMs: number;
  /** Time from the start of the first process until every new daemon listed all members. */
  readonly joinedMs: number;
  readonly platformCalls: number;
}

const WAIT_LIMIT_MS = 120_000;
const POLL_INTERVAL_MS = 100;

const waitForAll = async (
  group: NodeGroup,
  isMet: (status: NodeStatus) => boolean,
): Promise<number> => {
  const startedAtMs = Date.now();
  while (Date.now() - startedAtMs < WAIT_LIMIT_MS) {
    const statuses = await group.readAll();
    if (statuses.every(isMet)) return Date.now() - startedAtMs;
    await sleep(POLL_INTERVAL_MS);
  }
  return Infinity;
};

const countCalls = (fleet: RealFleet): number => {
  const { reads, writes } = fleet.platform.platform.getCounts();
  return reads + writes;
};

/**
 * Starts all daemons of a new data centre at the same time, next to a fleet that has a configuration.
 *
 * @param fleet - the running fleet
 * @param daemons - the number of daemons to start
 * @returns the times until they were configured and joined, and the number of platform calls
 */
export const measureColdStart = async (fleet: RealFleet, daemons: number): Promise<ColdStart> => {
  const group = new NodeGroup({
    platform: fleet.platform.address,
    partnerChoice: PartnerChoice.NearestAndRandom,
  });
  const seeds = fleet.listAddresses();
  const total = seeds.length + daemons;
  const callsBefore = countCalls(fleet);
  const startedAtMs = Date.now();
  try {
    await group.startTogether('dc-new', daemons, seeds);
    const listeningMs = Date.now() - startedAtMs;
    const configurationMs = await waitForAll(group, ({ generations }) =>
      generations.every((generation) => generation > 0),
    );
    const platformCalls = countCalls(fleet) - callsBefore;
    const joiningMs = await waitForAll(group, ({ members }) =>
      members.every((count) => count >= total),
    );
    return {
      daemons,
      configuredMs: listeningMs + configurationMs,
      joinedMs: listeningMs + configurationMs + joiningMs,
      platformCalls,
    };
  } finally {
    await group.stop();
  }
};
