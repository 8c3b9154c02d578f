import {
  DEAD_RETENTION_MS,
  JOIN_FANOUT,
  JOIN_RETRY_MS,
  LIST_INTERVAL_MS,
  LIST_JITTER_MS,
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

/** Spreads a period by a fifth around its mean, so that daemons do not fall into step. */
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

/** Probes suspects whose time is over once more: their refutation may have missed this daemon. */
const expireSuspects = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const deadline = context.nowMs - computeSuspicionMs(state);
  const probes = [...state.probes.values()].filter((probe) => probe.isFinal);
  const probed = new Set(probes.map((probe) => probe.vm));
  const expired = [...state.records.values()].filter(
    ({ member, changedAtMs }) =>
      member.state === MemberState.Suspect &&
      // Elsewhere a refutation may be on its way behind a cut connection.
      member.dataCentre === state.self.dataCentre &&
      !probed.has(member.vm) &&
      changedAtMs <= deadline,
  );
  return runSteps(
    state,
    expired.map((record) => (next) => startProbe(next, record.member, context, true)),
  );
};

const removeExpired = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const deadline = context.nowMs - DEAD_RETENTION_MS;
  const isForgotten = [...state.records.values()].some(
    ({ member, changedAtMs }) => member.state === MemberState.Dead && changedAtMs <= deadline,
  );
  const isExpired = [...state.news.values()].some((item) => item.news.expiresAtMs <= context.nowMs);
  if (!isForgotten && !isExpired) return { state, actions: [] };
  const records = [...state.records].filter(
    ([, { member, changedAtMs }]) => member.state !== MemberState.Dead || changedAtMs > deadline,
  );
  const news = [...state.news].filter(([, item]) => item.news.expiresAtMs > context.nowMs);
  return { state: { ...state, records: new Map(records), news: new Map(news) }, actions: [] };
};

const pingNear = (state: MembershipState, context: MembershipContext): MembershipStep => {
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
  // The one not heard of for longest comes first; all are pinged in turn.
  const [oldest] = [...others].sort(
    (left, right) => (next.contacts.get(left) ?? 0) - (next.contacts.get(right) ?? 0),
  );
  const dataCentre = context.random() < 0.5 ? oldest : pickRandom(others, context.random);
  if (dataCentre === undefined) return { state: next, actions: [] };
  const partner = pickRemotePartner(next, dataCentre, context.random);
  return probeMembers(next, partner === undefined ? [] : [partner], context);
};

const pingUrgently = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (!state.isUrgent || context.nowMs < state.schedule.urgentAtMs) return { state, actions: [] };
  const urgentAtMs = context.nowMs + URGENT_INTERVAL_MS;
  const next = withSchedule({ ...state, isUrgent: false }, { urgentAtMs });
  const near = listOthersIn(next, next.self.dataCentre);
  const targets = pickSeveral(near, URGENT_FANOUT, context.random);
  const dataCentres = isDelegate(next) ? listOtherDataCentres(next) : [];
  const remote = dataCentres.flatMap(
    (dataCentre) => pickRemotePartner(next, dataCentre, context.random) ?? [],
  );
  return probeMembers(next, [...targets, ...remote], context);
};

/** Lists where daemons may be that this one does not know to be present. */
const listCandidates = (state: MembershipState): readonly string[] => {
  const present = new Set([state.self, ...listOthers(state)].map((member) => member.address));
  const dead = [...state.records.values()].map((record) => record.member.address);
  const all = new Set([...state.seeds, ...state.listed, ...dead]);
  return [...all].filter((address) => !present.has(address));
};

const createSync = (state: MembershipState, address: string): MembershipAction => ({
  kind: MembershipActionKind.Sync,
  address,
  members: [],
  digests: hashBuckets(state),
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

/** Picks a member at home as a rule; delegates go to another data centre every second time. */
const pickSyncPartner = (
  state: MembershipState,
  context: MembershipContext,
): Member | undefined => {
  const near = listOthersIn(state, state.self.dataCentre);
  const isRemoteTurn = near.length === 0 || (isDelegate(state) && context.random() < 0.5);
  const remote = pickRandom(listOtherDataCentres(state), context.random);
  if (!isRemoteTurn || remote === undefined) return pickRandom(near, context.random);
  return pickRemotePartner(state, remote, context.random);
};

const syncSeldom = (state: MembershipState, context: MembershipContext): MembershipStep => {
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
  return state.records.size > 0 ? syncSeldom(state, context) : syncToJoin(state, context);
};

const listWhenDue = (state: MembershipState, context: MembershipContext): MembershipStep => {
  if (context.nowMs < state.schedule.listAtMs) return { state, actions: [] };
  const hasPeers = state.records.size > 0;
  const isAsked = !hasPeers || isDelegate(state);
  const period = hasPeers ? LIST_INTERVAL_MS : JOIN_RETRY_MS + LIST_JITTER_MS;
  const listAtMs = context.nowMs + addJitter(period, context.random);
  return {
    state: withSchedule(state, { listAtMs }),
    actions: isAsked ? [{ kind: MembershipActionKind.ListVms }] : [],
  };
};

/**
 * Does all that is due.
 *
 * @param state - the membership
 * @param context - time and random source
 * @returns the next state and what is to be done
 */
export const handleTick = (state: MembershipState, context: MembershipContext): MembershipStep =>
  runSteps(
    state,
    [
      expireSuspects,
      removeExpired,
      pingNear,
      pingRemote,
      syncWhenDue,
      listWhenDue,
      pingUrgently,
    ].map((run) => (next) => run(next, context)),
  );
