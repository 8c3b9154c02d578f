import { compareMembers } from './compareMembers.js';
import { MS_PER_SECOND } from './constants.js';
import { MemberState, MembershipActionKind } from './enums.js';
import { computeTransmitLimit } from './limits.js';

import type { Member } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipState,
  MembershipStep,
} from './types.js';

const URGENT_STATES: ReadonlySet<MemberState> = new Set([MemberState.Leaving, MemberState.Dead]);

/**
 * Refutes a wrong update about this daemon by raising its incarnation above the one in the update.
 *
 * @param state - current membership state
 * @param update - received update about this daemon
 * @param context - current time and random source
 * @returns the state, with a higher incarnation if the update was wrong
 */
const handleUpdateAboutSelf = (
  state: MembershipState,
  update: Member,
  context: MembershipContext,
): MembershipState => {
  if (update.incarnation < state.self.incarnation) return state;
  const isOwnIncarnation =
    update.incarnation === state.self.incarnation && update.address === state.self.address;
  if (isOwnIncarnation && compareMembers(update, state.self) <= 0) return state;
  const clockIncarnation = Math.floor(context.nowMs / MS_PER_SECOND);
  const incarnation = Math.max(update.incarnation + 1, clockIncarnation);
  return {
    ...state,
    self: { ...state.self, incarnation },
    selfSendsLeft: computeTransmitLimit(state),
    isUrgent: true,
  };
};

/**
 * Merges an update about a member if it overrides the known version.
 *
 * @param state - current membership state
 * @param update - received version of the member
 * @param context - current time and random source
 * @returns the next state, and a report if the member changed
 */
export const mergeMember = (
  state: MembershipState,
  update: Member,
  context: MembershipContext,
): MembershipStep => {
  if (update.vm === state.self.vm)
    return { state: handleUpdateAboutSelf(state, update, context), actions: [] };
  const known = state.records.get(update.vm);
  if (known !== undefined && compareMembers(update, known.member) <= 0) {
    return { state, actions: [] };
  }
  // A dead member is recorded even if it was unknown, so that an older update cannot add it as alive.
  const record = {
    member: update,
    changedAtMs: context.nowMs,
    sendsLeft: computeTransmitLimit(state),
  };
  const change = { member: update, previous: known?.member };
  const isReported = known !== undefined || update.state !== MemberState.Dead;
  return {
    state: {
      ...state,
      records: new Map(state.records).set(update.vm, record),
      isUrgent: state.isUrgent || (isReported && URGENT_STATES.has(update.state)),
    },
    actions: isReported ? [{ kind: MembershipActionKind.ReportChange, change }] : [],
  };
};

/**
 * Merges several member updates in order.
 *
 * @param state - current membership state
 * @param members - received versions of members
 * @param context - current time and random source
 * @returns the next state, and a report for each change
 */
export const mergeMembers = (
  state: MembershipState,
  members: readonly Member[],
  context: MembershipContext,
): MembershipStep => {
  let next = state;
  const actions: MembershipAction[] = [];
  for (const member of members) {
    const step = mergeMember(next, member, context);
    next = step.state;
    actions.push(...step.actions);
  }
  return { state: next, actions };
};

/**
 * Changes the state of a member at its current incarnation, based on this daemon's own probes.
 *
 * @param state - current membership state
 * @param member - known version of the member
 * @param memberState - new state of the member
 * @param context - current time and random source
 * @returns the next state, and a report if the member changed
 */
export const markMember = (
  state: MembershipState,
  member: Member,
  memberState: MemberState,
  context: MembershipContext,
): MembershipStep => mergeMember(state, { ...member, state: memberState }, context);
