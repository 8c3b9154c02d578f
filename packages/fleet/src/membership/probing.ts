import { INDIRECT_HELPERS } from './constants.js';
import { MemberState, MembershipActionKind } from './enums.js';
import { takeGossip } from './gossip.js';
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
 * Pings a member.
 *
 * @param state - the membership
 * @param target - whom to ping
 * @param context - time and random source
 * @param isFinal - whether the target is a suspect whose time to refute is over
 * @returns the state that waits for the answer, and the ping
 */
export const startProbe = (
  state: MembershipState,
  target: Member,
  context: MembershipContext,
  isFinal = false,
): MembershipStep => {
  const { state: told, gossip } = takeGossip(state, target.vm, context);
  const probeId = state.nextProbeId;
  const probe: Probe = { vm: target.vm, attempts: 1, isDirect: true, isFinal };
  return {
    state: {
      ...told,
      probes: new Map(told.probes).set(probeId, probe),
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

/** Picks who is asked to ping a silent member: neighbours at home first, delegates elsewhere if too few. */
const pickHelpers = (
  state: MembershipState,
  target: Member,
  context: MembershipContext,
): readonly Member[] => {
  const near = listOthersIn(state, state.self.dataCentre).filter(
    (member) => member.vm !== target.vm && member.state === MemberState.Alive,
  );
  const helpers = pickSeveral(near, INDIRECT_HELPERS, context.random);
  if (helpers.length > 0) return helpers;
  return pickSeveral(listRemoteDelegates(state), INDIRECT_HELPERS, context.random);
};

const startSecondAttempts = (
  state: MembershipState,
  probeId: number,
  target: Member,
  isFinal: boolean,
  context: MembershipContext,
): MembershipStep => {
  const { state: told, gossip } = takeGossip(state, target.vm, context);
  const helpers = pickHelpers(told, target, context);
  const probe: Probe = { vm: target.vm, attempts: helpers.length + 1, isDirect: false, isFinal };
  const indirect = helpers.map((helper): MembershipAction => ({
    kind: MembershipActionKind.PingIndirect,
    probeId,
    helper,
    target,
    gossip,
  }));
  return {
    state: { ...told, probes: new Map(told.probes).set(probeId, probe) },
    actions: [{ kind: MembershipActionKind.PingFresh, probeId, target, gossip }, ...indirect],
  };
};

const removeProbe = (state: MembershipState, probeId: number): MembershipState => {
  const probes = new Map(state.probes);
  probes.delete(probeId);
  return { ...state, probes };
};

const markSilent = (
  state: MembershipState,
  target: Member,
  isFinal: boolean,
  context: MembershipContext,
): MembershipStep => {
  // Daemons of another data centre are judged by their own; here only the contact grows old.
  if (target.dataCentre !== state.self.dataCentre) return { state, actions: [] };
  if (target.state === MemberState.Alive) {
    return markMember(state, target, MemberState.Suspect, context);
  }
  const isOver = target.state === MemberState.Suspect && isFinal;
  if (target.state === MemberState.Leaving || isOver) {
    return markMember(state, target, MemberState.Dead, context);
  }
  return { state, actions: [] };
};

/**
 * Takes into account that one attempt of a probe failed: after the first, other ways are tried; after
 * the last, the member is suspected.
 *
 * @param state - the membership
 * @param probeId - which probe
 * @param context - time and random source
 * @returns the next state and further attempts
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
    return startSecondAttempts(state, probeId, target, probe.isFinal, context);
  }
  if (probe.attempts > 1) {
    const waiting = { ...probe, attempts: probe.attempts - 1 };
    return {
      state: { ...state, probes: new Map(state.probes).set(probeId, waiting) },
      actions: [],
    };
  }
  return markSilent(removeProbe(state, probeId), target, probe.isFinal, context);
};

/**
 * Takes an answer to a probe into account.
 *
 * @param state - the membership
 * @param probeId - which probe
 * @param from - the VM that answered
 * @param context - time and random source
 * @returns the next state; a member whose address now belongs to another VM is dead
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
