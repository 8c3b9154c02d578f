import { PartnerChoice } from '../enums.js';
import {
  JOIN_RETRY_MS,
  LIST_JITTER_MS,
  MS_PER_SECOND,
  PING_INTERVAL_MS,
  SEED_WAIT_MS,
} from './constants.js';
import { MemberState } from './enums.js';

import type { FleetSettings } from '../types.js';
import type { MembershipContext, MembershipState } from './types.js';

const FIRST_SENDS = 8;

/**
 * Makes the state of a daemon that has just started and knows nobody.
 *
 * @param settings - what the daemon's settings say
 * @param address - `host:port` by which others reach it
 * @param context - time and random source
 * @returns the first state
 */
export const createMembership = (
  settings: FleetSettings,
  address: string,
  context: MembershipContext,
): MembershipState => {
  const waitMs = settings.seeds.length > 0 ? SEED_WAIT_MS : 0;
  return {
    self: {
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      address,
      // A daemon that restarts empty is newer than anything that is still told of its former life.
      incarnation: Math.floor(context.nowMs / MS_PER_SECOND),
      state: MemberState.Alive,
    },
    selfSendsLeft: FIRST_SENDS,
    partnerChoice: settings.partnerChoice ?? PartnerChoice.NearestAndRandom,
    records: new Map(),
    news: new Map(),
    contacts: new Map(),
    generation: 0,
    probes: new Map(),
    nextProbeId: 1,
    round: [],
    pingCount: 0,
    schedule: {
      pingAtMs: context.nowMs + context.random() * PING_INTERVAL_MS,
      remotePingAtMs: context.nowMs + context.random() * PING_INTERVAL_MS,
      syncAtMs: context.nowMs,
      // Seeds come first; the platform is asked later, and not by a whole data centre at once.
      listAtMs: context.nowMs + waitMs + context.random() * LIST_JITTER_MS,
      urgentAtMs: context.nowMs,
    },
    syncIntervalMs: JOIN_RETRY_MS,
    isUrgent: false,
    isJoined: false,
    seeds: settings.seeds,
    listed: [],
  };
};
