import { LEAVE_FANOUT } from './constants.js';
import { MemberState, MembershipActionKind, MembershipEventKind } from './enums.js';
import { takeGossip } from './gossip.js';
import { computeSends } from './limits.js';
import { listOthersIn } from './members.js';
import { mergeMembers } from './mergeMembers.js';
import { mergeNews, mergeNewsItem } from './mergeNews.js';
import { pickSeveral } from './partners.js';
import { handleProbeAnswer, handleProbeFailure, startProbe } from './probing.js';
import { runSteps } from './steps.js';
import { computeNextInterval, handleSync, handleSyncAnswer } from './syncing.js';
import { handleTick } from './ticking.js';

import type { DataCentreName, VmId } from '@sardinegrade/common';
import type {
  Contact,
  Gossip,
  MembershipContext,
  MembershipEvent,
  MembershipState,
  MembershipStep,
} from './types.js';

type EventOf<Kind extends MembershipEventKind> = Extract<MembershipEvent, { kind: Kind }>;

type MembershipHandlers = {
  readonly [Kind in MembershipEventKind]: (
    state: MembershipState,
    event: EventOf<Kind>,
    context: MembershipContext,
  ) => MembershipStep;
};

const mergeContacts = (
  state: MembershipState,
  contacts: readonly Contact[],
  context: MembershipContext,
): MembershipState => {
  const merged = new Map(state.contacts);
  for (const { dataCentre, ageMs } of contacts) {
    if (dataCentre === state.self.dataCentre) continue;
    const heardAtMs = context.nowMs - ageMs;
    if (heardAtMs > (merged.get(dataCentre) ?? 0)) merged.set(dataCentre, heardAtMs);
  }
  return { ...state, contacts: merged };
};

const noteHeard = (
  state: MembershipState,
  from: VmId,
  gossip: Gossip,
  context: MembershipContext,
): MembershipState => {
  const dataCentre: DataCentreName | undefined = state.records.get(from)?.member.dataCentre;
  if (dataCentre === undefined) return state;
  // What another data centre says of third ones is not this one's own contact with them.
  if (dataCentre === state.self.dataCentre) return mergeContacts(state, gossip.contacts, context);
  return mergeContacts(state, [{ dataCentre, ageMs: 0 }], context);
};

const mergeGossip = (
  state: MembershipState,
  from: VmId,
  gossip: Gossip,
  context: MembershipContext,
): MembershipStep =>
  runSteps(state, [
    (next) => mergeMembers(next, gossip.members, context),
    (next) => mergeNews(next, gossip.news, context),
    (next) => ({
      state: noteHeard(next, from, gossip, context),
      actions: [
        {
          kind: MembershipActionKind.ReportGeneration,
          from,
          generation: gossip.generation,
        },
      ],
    }),
  ]);

const handlePing = (
  state: MembershipState,
  event: EventOf<MembershipEventKind.Ping>,
  context: MembershipContext,
): MembershipStep => {
  const merged = mergeGossip(state, event.from, event.gossip, context);
  const isUnknown = !merged.state.records.has(event.from);
  const { state: told, gossip } = takeGossip(merged.state, event.from, context);
  return {
    state: told,
    actions: [...merged.actions, { kind: MembershipActionKind.ReplyPing, gossip, isUnknown }],
  };
};

const handlePingAnswer = (
  state: MembershipState,
  event: EventOf<MembershipEventKind.PingAnswered>,
  context: MembershipContext,
): MembershipStep =>
  runSteps(state, [
    (next) => handleProbeAnswer(next, event.probeId, event.from, context),
    (next) => mergeGossip(next, event.from, event.gossip, context),
    (next) => ({
      state: event.isUnknown ? { ...next, selfSendsLeft: computeSends(next) } : next,
      actions: [],
    }),
  ]);

const handleLeave = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const self = { ...state.self, state: MemberState.Leaving };
  const leaving = { ...state, self, selfSendsLeft: computeSends(state) + LEAVE_FANOUT };
  const near = listOthersIn(leaving, self.dataCentre);
  const targets = pickSeveral(near, LEAVE_FANOUT, context.random);
  const told = runSteps(
    leaving,
    targets.map((target) => (next) => startProbe(next, target, context)),
  );
  return { ...told, state: { ...told.state, isUrgent: true } };
};

const handleConfigured = (
  state: MembershipState,
  event: EventOf<MembershipEventKind.Configured>,
): MembershipStep => ({
  state: {
    ...state,
    generation: Math.max(state.generation, event.generation),
    isUrgent: state.isUrgent || event.generation > state.generation,
  },
  actions: [],
});

const handleVmsListed = (
  state: MembershipState,
  event: EventOf<MembershipEventKind.VmsListed>,
): MembershipStep => {
  const isAlone = [...state.seeds, ...event.addresses].every(
    (address) => address === state.self.address,
  );
  return {
    state: { ...state, listed: event.addresses, isJoined: state.isJoined || isAlone },
    actions: [],
  };
};

const HANDLERS: MembershipHandlers = {
  [MembershipEventKind.Tick]: (state, _event, context) => handleTick(state, context),
  [MembershipEventKind.Ping]: handlePing,
  [MembershipEventKind.PingAnswered]: handlePingAnswer,
  [MembershipEventKind.PingFailed]: (state, event, context) =>
    handleProbeFailure(state, event.probeId, context),
  [MembershipEventKind.Sync]: handleSync,
  [MembershipEventKind.SyncAnswered]: handleSyncAnswer,
  [MembershipEventKind.SyncFailed]: (state) => ({
    state: { ...state, syncIntervalMs: computeNextInterval(state) },
    actions: [],
  }),
  [MembershipEventKind.VmsListed]: handleVmsListed,
  [MembershipEventKind.VmsUnlisted]: (state) => ({ state, actions: [] }),
  [MembershipEventKind.NewsFound]: (state, event, context) =>
    mergeNewsItem(state, event.news, context),
  [MembershipEventKind.Configured]: handleConfigured,
  [MembershipEventKind.Leave]: (state, _event, context) => handleLeave(state, context),
};

/**
 * The membership machine: takes one event into account. Pure but for the random source passed in.
 *
 * @param state - the membership
 * @param event - what happened
 * @param context - time and random source
 * @returns the next state and what is to be done, in order
 */
export const reduceMembership = <Kind extends MembershipEventKind>(
  state: MembershipState,
  event: EventOf<Kind>,
  context: MembershipContext,
): MembershipStep => HANDLERS[event.kind](state, event, context);
