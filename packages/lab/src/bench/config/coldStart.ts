import { setTimeout as sleep } from 'node:timers/promises';

import { PartnerChoice } from '@sardinegrade/fleet';

import { NodeGroup } from '../control/nodes/index.js';

import type { RealFleet } from '../../integration/index.js';
import type { NodeStatus } from '../control/nodes/index.js';

/** What it takes a data centre to start at once. */
export interface ColdStart {
  readonly daemons: number;
  /** Until every new daemon had the configuration, from the first process's start. */
  readonly configuredMs: number;
  /** Until every new daemon knew all others. */
  readonly joinedMs: number;
  readonly platformCalls: number;
}

const LIMIT_MS = 120_000;
const POLL_MS = 100;

const waitForAll = async (
  group: NodeGroup,
  isMet: (status: NodeStatus) => boolean,
): Promise<number> => {
  const startedAtMs = Date.now();
  while (Date.now() - startedAtMs < LIMIT_MS) {
    const statuses = await group.readAll();
    if (statuses.every(isMet)) return Date.now() - startedAtMs;
    await sleep(POLL_MS);
  }
  return Infinity;
};

const countCalls = (fleet: RealFleet): number => {
  const { reads, writes } = fleet.platform.platform.getCounts();
  return reads + writes;
};

/**
 * Starts daemons of a new data centre all at once beside a fleet that has a configuration.
 *
 * @param fleet - the running fleet
 * @param daemons - how many start
 * @returns how long it took, and what it cost the platform
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
    const configured = await waitForAll(group, ({ generations }) =>
      generations.every((generation) => generation > 0),
    );
    const platformCalls = countCalls(fleet) - callsBefore;
    const joined = await waitForAll(group, ({ members }) =>
      members.every((known) => known >= total),
    );
    return {
      daemons,
      configuredMs: listeningMs + configured,
      joinedMs: listeningMs + configured + joined,
      platformCalls,
    };
  } finally {
    await group.stop();
  }
};
