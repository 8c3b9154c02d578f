import type { MembershipAction, MembershipState, MembershipStep } from './types.js';

/**
 * Runs several steps in sequence, passing the resulting state of each to the next.
 *
 * @param state - initial state
 * @param steps - functions that map a state to the next state and its actions
 * @returns the final state and the actions of all steps, in order
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
