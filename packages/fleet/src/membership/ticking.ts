import {
  DEAD_RETENTION_MS,
  JOIN_FANOUT,
  JOIN_RETRY_MS,
  LIST_VMS_INTERVAL_MS,
  LIST_VMS_JITTER_MS,
  PING_INTERVAL_MS,
  URGENT_FANOUT,
  URGENT_INTERVAL_MS,
} from './constants.js';
import { MemberState, MembershipActionKind } from './enums.js';
import { computeSuspicionMs } from './limits.js';
import {
  isDelegate,
  hashBuckets,
  listOtherDataCentres,
  listOthers,
  listOthersIn,
} from './members.js';
import { hashNews } from './newsBuckets.js';
import { pickPartner, pickRandom, pickRemotePartner, pickSeveral } from './partners.js';
import { startProbe } from './probing.js';
import { runSteps } from './steps.js';

import type { Member } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipState,
  MembershipStep,
  Schedule,
} from './types.js';

const JITTER_SHARE = 0.2;

/** Varies a period by up to a tenth in each direction, so that daemons don't synchronise their timers. */
const addJitter = (periodMs: number, random: () => number): number =>
  periodMs * (1 + JITTER_SHARE * (random() - 0.5));

const withSchedule = (state: MembershipState, change: Partial<Schedule>): MembershipState => ({
  ...state,
  schedule: { ...state.schedule, ...change },
});

const probeMembers = (
  state: MembershipState,
  targets: readonly Member[],
  context: MembershipContext,
): MembershipStep =>
  runSteps(
    state,
    targets.map((target) => (next) => startProbe(next, target, context)),
  );

/** Probes expired suspects once more before they are declared dead: their refutation may have been lost. */
const expireSuspects = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const cutoffMs = context.nowMs - computeSuspicionMs(state);
  const probes = [...state.probes.values()].filter((probe) => probe.isFinal);
  const probed = new Set(probes.map((probe) => probe.vm));
  const expired = [...state.records.values()].filter(
    ({ member, changedAtMs }) =>
      member.state === MemberState.Suspect &&
      // For a member of another data centre the refutation may be delayed by a network partition.
      member.dataCentre === state.self.dataCentre &&
      !probed.has(member.vm) &&
      changedAtMs <= cutoffMs,
  );
  return runSteps(
    state,
    expired.map((record) => (next) => startProbe(next, record.member, context, true)),
  );
};

const removeExpired = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const cutoffMs = context.nowMs - DEAD_RETENTION_MS;
  const hasExpiredMember = [...state.records.values()].some(
    ({ member, changedAtMs }) => member.state === MemberState.Dead && changedAtMs <= cutoffMs,
  );
  const hasExpiredNews = [...state.news.values()].some(
    (item) => item.news.expiresAtMs <= context.nowMs,
  );
  if (!hasExpiredMember && !hasExpiredNews) return { state, actions: [] };
  const records = [...state.records].filter(
    ([, { member, changedAtMs }]) => member.state !== MemberState.Dead || changedAtMs > cutoffMs,
  );
  const news = [...state.news].filter(([, item]) => item.news.expiresAtMs > context.nowMs);
  return { state: { ...state, records: new Map(records), news: new Map(news) }, actions: [] };
};

const pingLocal = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (context.nowMs < state.schedule.pingAtMs) return { state, actions: [] };
  const pingAtMs = context.nowMs + addJitter(PING_INTERVAL_MS, context.random);
  const pick = pickPartner(withSchedule(state, { pingAtMs }), context);
  return probeMembers(pick.state, pick.partner === undefined ? [] : [pick.partner], context);
};

const pingRemote = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (context.nowMs < state.schedule.remotePingAtMs) return { state, actions: [] };
  const remotePingAtMs = context.nowMs + addJitter(PING_INTERVAL_MS, context.random);
  const next = withSchedule(state, { remotePingAtMs });
  if (!isDelegate(next)) return { state: next, actions: [] };
  const others = listOtherDataCentres(next);
  // Half of the pings go to the data centre with the oldest contact, the others to a random one.
  const [leastRecent] = [...others].sort(
    (left, right) => (next.contacts.get(left) ?? 0) - (next.contacts.get(right) ?? 0),
  );
  const dataCentre = context.random() < 0.5 ? leastRecent : pickRandom(others, context.random);
  if (dataCentre === undefined) return { state: next, actions: [] };
  const partner = pickRemotePartner(next, dataCentre, context.random);
  return probeMembers(next, partner === undefined ? [] : [partner], context);
};

const pingUrgently = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (!state.isUrgent || context.nowMs < state.schedule.urgentAtMs) return { state, actions: [] };
  const urgentAtMs = context.nowMs + URGENT_INTERVAL_MS;
  const next = withSchedule({ ...state, isUrgent: false }, { urgentAtMs });
  const localMembers = listOthersIn(next, next.self.dataCentre);
  const targets = pickSeveral(localMembers, URGENT_FANOUT, context.random);
  const dataCentres = isDelegate(next) ? listOtherDataCentres(next) : [];
  const remote = dataCentres.flatMap(
    (dataCentre) => pickRemotePartner(next, dataCentre, context.random) ?? [],
  );
  return probeMembers(next, [...targets, ...remote], context);
};

/** Lists addresses that may belong to a daemon but to no member that is currently present. */
const listCandidates = (state: MembershipState): readonly string[] => {
  const present = new Set([state.self, ...listOthers(state)].map((member) => member.address));
  const known = [...state.records.values()].map((record) => record.member.address);
  const all = new Set([...state.seeds, ...state.listedAddresses, ...known]);
  return [...all].filter((address) => !present.has(address));
};

const createSync = (state: MembershipState, address: string): MembershipAction => ({
  kind: MembershipActionKind.Sync,
  address,
  members: [],
  digests: hashBuckets(state),
  news: [],
  newsDigests: hashNews(state),
  isPush: false,
});

const syncToJoin = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const addresses = pickSeveral(listCandidates(state), JOIN_FANOUT, context.random);
  const syncAtMs = context.nowMs + addJitter(JOIN_RETRY_MS, context.random);
  return {
    state: withSchedule(state, { syncAtMs }),
    actions: addresses.map((address) => createSync(state, address)),
  };
};

/** Picks a member of the local data centre; a delegate picks one of another data centre half of the time. */
const pickSyncPartner = (
  state: MembershipState,
  context: MembershipContext,
): Member | undefined => {
  const localMembers = listOthersIn(state, state.self.dataCentre);
  const isRemoteTurn = localMembers.length === 0 || (isDelegate(state) && context.random() < 0.5);
  const remote = pickRandom(listOtherDataCentres(state), context.random);
  if (!isRemoteTurn || remote === undefined) return pickRandom(localMembers, context.random);
  return pickRemotePartner(state, remote, context.random);
};

const syncPeriodically = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const syncAtMs = context.nowMs + addJitter(state.syncIntervalMs, context.random);
  const member = pickSyncPartner(state, context);
  const candidate = pickRandom(listCandidates(state), context.random);
  const addresses = [member?.address, candidate].filter((address) => address !== undefined);
  return {
    state: withSchedule(state, { syncAtMs }),
    actions: addresses.map((address) => createSync(state, address)),
  };
};

const syncWhenDue = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (context.nowMs < state.schedule.syncAtMs) return { state, actions: [] };
  return state.records.size > 0 ? syncPeriodically(state, context) : syncToJoin(state, context);
};

const listVmsWhenDue = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (context.nowMs < state.schedule.listVmsAtMs) return { state, actions: [] };
  const hasPeers = state.records.size > 0;
  const shouldList = !hasPeers || isDelegate(state);
  const period = hasPeers ? LIST_VMS_INTERVAL_MS : JOIN_RETRY_MS + LIST_VMS_JITTER_MS;
  const listVmsAtMs = context.nowMs + addJitter(period, context.random);
  return {
    state: withSchedule(state, { listVmsAtMs }),
    actions: shouldList ? [{ kind: MembershipActionKind.ListVms }] : [],
  };
};

/**
 * Runs all periodic work that is due.
 *
 * @param state - current membership state
 * @param context - current time and random source
 * @returns the next state and the actions to perform
 */
export const handleTick = (state: MembershipState, context: MembershipContext): MembershipStep =>
  runSteps(
    state,
    [
      expireSuspects,
      removeExpired,
      pingLocal,
      pingRemote,
      syncWhenDue,
      listVmsWhenDue,
      pingUrgently,
    ].map((run) => (next) => run(next, context)),
  );
