import { LEAVE_FANOUT } from './constants.js';
import { MemberState, MembershipActionKind, MembershipEventKind } from './enums.js';
import { selectGossip } from './gossip.js';
import { computeTransmitLimit } from './limits.js';
import { listOthersIn } from './members.js';
import { mergeMembers } from './mergeMembers.js';
import { mergeNews, mergeNewsItem } from './mergeNews.js';
import { pickSeveral } from './partners.js';
import { handleProbeAnswer, handleProbeFailure, startProbe } from './probing.js';
import { runSteps } from './steps.js';
import { computeNextSyncInterval, handleSync, handleSyncAnswer } from './syncing.js';
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
    const lastContactAtMs = context.nowMs - ageMs;
    if (lastContactAtMs > (merged.get(dataCentre) ?? 0)) merged.set(dataCentre, lastContactAtMs);
  }
  return { ...state, contacts: merged };
};

const recordContact = (
  state: MembershipState,
  from: VmId,
  gossip: Gossip,
  context: MembershipContext,
): MembershipState => {
  const dataCentre: DataCentreName | undefined = state.records.get(from)?.member.dataCentre;
  if (dataCentre === undefined) return state;
  // Contacts of a daemon in another data centre don't show whether this data centre can reach the others.
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
      state: recordContact(next, from, gossip, context),
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
  const { state: updated, gossip } = selectGossip(merged.state, event.from, context);
  return {
    state: updated,
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
      state: event.isUnknown ? { ...next, selfSendsLeft: computeTransmitLimit(next) } : next,
      actions: [],
    }),
  ]);

const handleLeave = (state: MembershipState, context: MembershipContext): MembershipStep => {
  const self = { ...state.self, state: MemberState.Leaving };
  const leaving = { ...state, self, selfSendsLeft: computeTransmitLimit(state) + LEAVE_FANOUT };
  const localMembers = listOthersIn(leaving, self.dataCentre);
  const targets = pickSeveral(localMembers, LEAVE_FANOUT, context.random);
  const updated = runSteps(
    leaving,
    targets.map((target) => (next) => startProbe(next, target, context)),
  );
  return { ...updated, state: { ...updated.state, isUrgent: true } };
};

const handleConfigurationInstalled = (
  state: MembershipState,
  event: EventOf<MembershipEventKind.ConfigurationInstalled>,
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
    state: { ...state, listedAddresses: event.addresses, isJoined: state.isJoined || isAlone },
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
    state: { ...state, syncIntervalMs: computeNextSyncInterval(state) },
    actions: [],
  }),
  [MembershipEventKind.VmsListed]: handleVmsListed,
  [MembershipEventKind.ListVmsFailed]: (state) => ({ state, actions: [] }),
  [MembershipEventKind.NewsFound]: (state, event, context) =>
    mergeNewsItem(state, event.news, context),
  [MembershipEventKind.ConfigurationInstalled]: handleConfigurationInstalled,
  [MembershipEventKind.Leave]: (state, _event, context) => handleLeave(state, context),
};

/**
 * Reducer of the membership state machine. Pure except for the random source in the context.
 *
 * @param state - current membership state
 * @param event - event to handle
 * @param context - current time and random source
 * @returns the next state and the actions to perform, in order
 */
export const reduceMembership = <Kind extends MembershipEventKind>(
  state: MembershipState,
  event: EventOf<Kind>,
  context: MembershipContext,
): MembershipStep => HANDLERS[event.kind](state, event, context);
