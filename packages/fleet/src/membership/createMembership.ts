import { PartnerChoice } from '../enums.js';
import {
  JOIN_RETRY_MS,
  LIST_VMS_JITTER_MS,
  MS_PER_SECOND,
  PING_INTERVAL_MS,
  SEED_WAIT_MS,
} from './constants.js';
import { MemberState } from './enums.js';

import type { FleetSettings } from '../types.js';
import type { MembershipContext, MembershipState } from './types.js';

/** Number of messages in which a newly started daemon announces itself. */
const INITIAL_SEND_COUNT = 8;

/**
 * Creates the initial state of a daemon that has no records of other members yet.
 *
 * @param settings - fleet settings of the daemon
 * @param address - `host:port` at which peers reach this daemon
 * @param context - current time and random source
 * @returns the initial state
 */
export const createMembership = (
  settings: FleetSettings,
  address: string,
  context: MembershipContext,
): MembershipState => {
  const seedWaitMs = settings.seeds.length > 0 ? SEED_WAIT_MS : 0;
  return {
    self: {
      vm: settings.vm,
      dataCentre: settings.dataCentre,
      address,
      // Clock-based, so that a daemon that restarts without state overrides gossip about its previous run.
      incarnation: Math.floor(context.nowMs / MS_PER_SECOND),
      state: MemberState.Alive,
    },
    selfSendsLeft: INITIAL_SEND_COUNT,
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
      // Seeds are contacted first. The random delay keeps a data centre from listing VMs all at once.
      listVmsAtMs: context.nowMs + seedWaitMs + context.random() * LIST_VMS_JITTER_MS,
      urgentAtMs: context.nowMs,
    },
    syncIntervalMs: JOIN_RETRY_MS,
    isUrgent: false,
    isJoined: false,
    seeds: settings.seeds,
    listedAddresses: [],
  };
};
