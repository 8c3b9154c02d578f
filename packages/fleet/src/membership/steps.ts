import type { MembershipAction, MembershipState, MembershipStep } from './types.js';

/**
 * Runs several steps one after another, each on the state that the one before left.
 *
 * @param state - the first state
 * @param steps - functions from a state to a step
 * @returns the last state and all actions in order
 */
export const runSteps = (
  state: MembershipState,
  steps: readonly ((state: MembershipState) => MembershipStep)[],
): MembershipStep => {
  let next = state;
  const actions: MembershipAction[] = [];
  for (const run of steps) {
    const step = run(next);
    next = step.state;
    actions.push(...step.actions);
  }
  return { state: next, actions };
};
