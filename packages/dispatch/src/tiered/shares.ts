import { getGuaranteedShare, hasWork } from './classes.js';

import type { AskRecord, ClassState, TieredState } from './types.js';

/** The most tokens that a class may be owed, or owe. */
const CREDIT_LIMIT_TOKENS = 8_192;
const DEBT_LIMIT_TOKENS = 2_048;

const addCredit = (owner: ClassState, tokens: number): void => {
  const credit = owner.credit + tokens;
  owner.credit = Math.min(CREDIT_LIMIT_TOKENS, Math.max(-DEBT_LIMIT_TOKENS, credit));
};

/**
 * Charges a class for tokens that it takes, and credits every class of the pool that has work with its guaranteed
 * share of them. A negative number takes a charge back.
 *
 * @param state - the dispatcher's state
 * @param owner - the class that takes the tokens
 * @param tokens - their number
 */
export const applyUse = (state: TieredState, owner: ClassState, tokens: number): void => {
  addCredit(owner, -tokens);
  for (const other of state.classes) {
    if (other.pool !== owner.pool) continue;
    if (hasWork(other)) addCredit(other, getGuaranteedShare(other) * tokens);
    else other.credit = Math.min(0, other.credit);
  }
};

const findNextCost = (owner: ClassState): number => {
  for (const record of owner.paused) return Math.max(0, record.expectedTokens - record.tokens);
  for (const record of owner.constrained) return record.cost;
  return owner.queue.peekNext()?.cost ?? Infinity;
};

/**
 * Finds the class whose guaranteed share has earned it its next request and is owed most.
 *
 * @param state - the dispatcher's state
 * @returns the class, or undefined where no class is owed a request
 */
export const findMostOwed = (state: TieredState): ClassState | undefined => {
  let mostOwed: ClassState | undefined;
  let most = 0;
  for (const owner of state.classes) {
    if (owner.credit <= most || !hasWork(owner) || owner.credit < findNextCost(owner)) continue;
    most = owner.credit;
    mostOwed = owner;
  }
  return mostOwed;
};

/**
 * Commits the tokens that a request is expected to take yet.
 *
 * @param state - the dispatcher's state
 * @param record - the request
 */
export const applyExpected = (state: TieredState, record: AskRecord): void => {
  record.outstanding = Math.max(0, record.expectedTokens - record.tokens);
  applyUse(state, record.owner, record.outstanding);
};

/**
 * Takes back the tokens that a request has not used.
 *
 * @param state - the dispatcher's state
 * @param record - the request
 */
export const releaseExpected = (state: TieredState, record: AskRecord): void => {
  applyUse(state, record.owner, -record.outstanding);
  record.outstanding = 0;
};
