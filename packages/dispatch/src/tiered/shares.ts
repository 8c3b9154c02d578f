import { getGuaranteedShare, hasPendingRequests } from './classes.js';

import type { RequestRecord, ClassState, TieredState } from './types.js';

/** Maximum credit that a class can accumulate. */
const MAX_CREDIT_TOKENS = 8_192;

/** Maximum by which the credit of a class can be negative. */
const MAX_DEBT_TOKENS = 2_048;

const addCredit = (classState: ClassState, tokens: number): void => {
  const credit = classState.creditTokens + tokens;
  classState.creditTokens = Math.min(MAX_CREDIT_TOKENS, Math.max(-MAX_DEBT_TOKENS, credit));
};

/**
 * Charges a class for tokens, and credits every class of the pool that has pending requests with its guaranteed share
 * of them. A negative number refunds an earlier charge.
 *
 * @param state - dispatcher state, modified in place
 * @param classState - the class that uses the tokens
 * @param tokens - number of generated tokens, possibly fractional
 */
export const applyTokenCharge = (
  state: TieredState,
  classState: ClassState,
  tokens: number,
): void => {
  addCredit(classState, -tokens);
  for (const other of state.classes) {
    if (other.pool !== classState.pool) continue;
    if (hasPendingRequests(other)) addCredit(other, getGuaranteedShare(other) * tokens);
    else other.creditTokens = Math.min(0, other.creditTokens);
  }
};

const findNextCost = (classState: ClassState): number => {
  for (const record of classState.paused) return Math.max(0, record.expectedTokens - record.tokens);
  for (const record of classState.constrained) return record.cost;
  return classState.queue.peekNext()?.cost ?? Infinity;
};

/**
 * Finds the class with the most credit among those whose credit covers the cost of their next request.
 *
 * @param state - dispatcher state
 * @returns the class, or undefined if there is none
 */
export const findMostCreditedClass = (state: TieredState): ClassState | undefined => {
  let mostCredited: ClassState | undefined;
  let mostTokens = 0;
  for (const classState of state.classes) {
    if (
      classState.creditTokens <= mostTokens ||
      !hasPendingRequests(classState) ||
      classState.creditTokens < findNextCost(classState)
    )
      continue;
    mostTokens = classState.creditTokens;
    mostCredited = classState;
  }
  return mostCredited;
};

/**
 * Charges the class for the tokens that a request is still expected to generate.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 */
export const applyExpectedTokens = (state: TieredState, record: RequestRecord): void => {
  record.outstandingTokens = Math.max(0, record.expectedTokens - record.tokens);
  applyTokenCharge(state, record.classState, record.outstandingTokens);
};

/**
 * Refunds the tokens that were charged for a request and that it has not generated.
 *
 * @param state - dispatcher state, modified in place
 * @param record - the request
 */
export const releaseExpectedTokens = (state: TieredState, record: RequestRecord): void => {
  applyTokenCharge(state, record.classState, -record.outstandingTokens);
  record.outstandingTokens = 0;
};
