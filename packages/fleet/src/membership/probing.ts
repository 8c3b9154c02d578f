import { INDIRECT_HELPER_COUNT } from './constants.js';
import { MemberState, MembershipActionKind } from './enums.js';
import { selectGossip } from './gossip.js';
import { listDelegates, listOtherDataCentres, listOthersIn } from './members.js';
import { markMember } from './mergeMembers.js';
import { pickSeveral } from './partners.js';

import type { Member } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipState,
  MembershipStep,
  Probe,
} from './types.js';

/**
 * Starts a probe of a member with a direct ping.
 *
 * @param state - current membership state
 * @param target - member to ping
 * @param context - current time and random source
 * @param isFinal - whether the target is a suspect whose suspicion timeout has passed
 * @returns the state with the pending probe, and the ping action
 */
export const startProbe = (
  state: MembershipState,
  target: Member,
  context: MembershipContext,
  isFinal = false,
): MembershipStep => {
  const { state: next, gossip } = selectGossip(state, target.vm, context);
  const probeId = state.nextProbeId;
  const probe: Probe = { vm: target.vm, attempts: 1, isDirect: true, isFinal };
  return {
    state: {
      ...next,
      probes: new Map(next.probes).set(probeId, probe),
      nextProbeId: probeId + 1,
    },
    actions: [{ kind: MembershipActionKind.Ping, probeId, target, gossip }],
  };
};

const listRemoteDelegates = (state: MembershipState): readonly Member[] =>
  listOtherDataCentres(state).flatMap((dataCentre) => {
    const delegates = listDelegates(state, dataCentre);
    return listOthersIn(state, dataCentre).filter((member) => delegates.includes(member.vm));
  });

/**
 * Picks the members that ping an unresponsive member indirectly: alive members of the local data centre,
 * or delegates of other data centres if there are none.
 */
const pickHelpers = (
  state: MembershipState,
  target: Member,
  context: MembershipContext,
): readonly Member[] => {
  const localMembers = listOthersIn(state, state.self.dataCentre).filter(
    (member) => member.vm !== target.vm && member.state === MemberState.Alive,
  );
  const helpers = pickSeveral(localMembers, INDIRECT_HELPER_COUNT, context.random);
  if (helpers.length > 0) return helpers;
  return pickSeveral(listRemoteDelegates(state), INDIRECT_HELPER_COUNT, context.random);
};

const startFallbackAttempts = (
  state: MembershipState,
  probeId: number,
  target: Member,
  isFinal: boolean,
  context: MembershipContext,
): MembershipStep => {
  const { state: next, gossip } = selectGossip(state, target.vm, context);
  const helpers = pickHelpers(next, target, context);
  const probe: Probe = { vm: target.vm, attempts: helpers.length + 1, isDirect: false, isFinal };
  const indirect = helpers.map((helper): MembershipAction => ({
    kind: MembershipActionKind.PingIndirect,
    probeId,
    helper,
    target,
    gossip,
  }));
  return {
    state: { ...next, probes: new Map(next.probes).set(probeId, probe) },
    actions: [{ kind: MembershipActionKind.PingFresh, probeId, target, gossip }, ...indirect],
  };
};

const removeProbe = (state: MembershipState, probeId: number): MembershipState => {
  const probes = new Map(state.probes);
  probes.delete(probeId);
  return { ...state, probes };
};

const markUnresponsive = (
  state: MembershipState,
  target: Member,
  isFinal: boolean,
  context: MembershipContext,
): MembershipStep => {
  // Only daemons in the same data centre may suspect a member. For a remote member, just the age of the
  // last contact with its data centre grows.
  if (target.dataCentre !== state.self.dataCentre) return { state, actions: [] };
  if (target.state === MemberState.Alive) {
    return markMember(state, target, MemberState.Suspect, context);
  }
  const hasSuspicionExpired = target.state === MemberState.Suspect && isFinal;
  if (target.state === MemberState.Leaving || hasSuspicionExpired) {
    return markMember(state, target, MemberState.Dead, context);
  }
  return { state, actions: [] };
};

/**
 * Handles a failed attempt of a probe. After the direct ping fails, indirect pings and a ping over a new
 * connection are sent; after the last of them fails, the member becomes suspect, or dead if it was leaving
 * or if this was the final probe of a suspect.
 *
 * @param state - current membership state
 * @param probeId - id of the probe
 * @param context - current time and random source
 * @returns the next state, and further ping actions or a report
 */
export const handleProbeFailure = (
  state: MembershipState,
  probeId: number,
  context: MembershipContext,
): MembershipStep => {
  const probe = state.probes.get(probeId);
  if (probe === undefined) return { state, actions: [] };
  const target = state.records.get(probe.vm)?.member;
  if (target === undefined) return { state: removeProbe(state, probeId), actions: [] };
  if (probe.isDirect) {
    return startFallbackAttempts(state, probeId, target, probe.isFinal, context);
  }
  if (probe.attempts > 1) {
    const remaining = { ...probe, attempts: probe.attempts - 1 };
    return {
      state: { ...state, probes: new Map(state.probes).set(probeId, remaining) },
      actions: [],
    };
  }
  return markUnresponsive(removeProbe(state, probeId), target, probe.isFinal, context);
};

/**
 * Handles the answer to a probe.
 *
 * @param state - current membership state
 * @param probeId - id of the probe
 * @param from - VM that answered
 * @param context - current time and random source
 * @returns the next state; the probed member is dead if another VM answered at its address
 */
export const handleProbeAnswer = (
  state: MembershipState,
  probeId: number,
  from: string,
  context: MembershipContext,
): MembershipStep => {
  const probe = state.probes.get(probeId);
  if (probe === undefined) return { state, actions: [] };
  const next = removeProbe(state, probeId);
  const target = next.records.get(probe.vm)?.member;
  if (target === undefined || probe.vm === from) return { state: next, actions: [] };
  return markMember(next, target, MemberState.Dead, context);
};
