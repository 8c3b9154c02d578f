import { compareMembers } from './compareMembers.js';
import { MS_PER_SECOND } from './constants.js';
import { MemberState, MembershipActionKind } from './enums.js';
import { computeSends } from './limits.js';

import type { Member } from '../types.js';
import type {
  MembershipAction,
  MembershipContext,
  MembershipState,
  MembershipStep,
} from './types.js';

const URGENT_STATES: ReadonlySet<MemberState> = new Set([MemberState.Leaving, MemberState.Dead]);

/**
 * Refutes what others say of this daemon: its next incarnation overrides theirs.
 *
 * @param state - the membership
 * @param heard - an account of this daemon
 * @param context - time and random source
 * @returns the state, with a higher incarnation where the account was wrong
 */
const answerAccount = (
  state: MembershipState,
  heard: Member,
  context: MembershipContext,
): MembershipState => {
  if (heard.incarnation < state.self.incarnation) return state;
  const isSameLife =
    heard.incarnation === state.self.incarnation && heard.address === state.self.address;
  if (isSameLife && compareMembers(heard, state.self) <= 0) return state;
  const clockIncarnation = Math.floor(context.nowMs / MS_PER_SECOND);
  const incarnation = Math.max(heard.incarnation + 1, clockIncarnation);
  return {
    ...state,
    self: { ...state.self, incarnation },
    selfSendsLeft: computeSends(state),
    isUrgent: true,
  };
};

/**
 * Takes one account of a member into the state where it overrides what is known.
 *
 * @param state - the membership
 * @param heard - the account
 * @param context - time and random source
 * @returns the next state, and a report where something changed
 */
export const mergeMember = (
  state: MembershipState,
  heard: Member,
  context: MembershipContext,
): MembershipStep => {
  if (heard.vm === state.self.vm)
    return { state: answerAccount(state, heard, context), actions: [] };
  const known = state.records.get(heard.vm);
  if (known !== undefined && compareMembers(heard, known.member) <= 0) {
    return { state, actions: [] };
  }
  // A dead member that was never known is remembered, lest an older account bring it back.
  const record = { member: heard, changedAtMs: context.nowMs, sendsLeft: computeSends(state) };
  const change = { member: heard, previous: known?.member };
  const isReported = known !== undefined || heard.state !== MemberState.Dead;
  return {
    state: {
      ...state,
      records: new Map(state.records).set(heard.vm, record),
      isUrgent: state.isUrgent || (isReported && URGENT_STATES.has(heard.state)),
    },
    actions: isReported ? [{ kind: MembershipActionKind.ReportChange, change }] : [],
  };
};

/**
 * Takes several accounts into the state.
 *
 * @param state - the membership
 * @param members - the accounts
 * @param context - time and random source
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
 * Changes the state of a member at its present incarnation, on this daemon's own evidence.
 *
 * @param state - the membership
 * @param member - the member as known
 * @param memberState - its new state
 * @param context - time and random source
 * @returns the next state and its report
 */
export const markMember = (
  state: MembershipState,
  member: Member,
  memberState: MemberState,
  context: MembershipContext,
): MembershipStep => mergeMember(state, { ...member, state: memberState }, context);
