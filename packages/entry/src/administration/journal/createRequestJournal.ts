import {
  DETAIL_LIMIT,
  FIRST_DECISION_LIMIT,
  JOURNAL_REQUEST_LIMIT,
  LAST_DECISION_LIMIT,
} from './constants.js';

import type { Clock, ResultCode } from '@sardinegrade/common';
import type {
  Decision,
  RequestAccount,
  RequestJournal,
  RequestSubject,
  RequestTrail,
} from './types.js';

interface Account {
  readonly subject: RequestSubject;
  readonly arrivedAtMs: number;
  readonly first: Decision[];
  readonly last: Decision[];
  omitted: number;
  endedAtMs: number | undefined;
  code: ResultCode | undefined;
}

const addDecision = (account: Account, decision: Decision): void => {
  if (account.first.length < FIRST_DECISION_LIMIT) {
    account.first.push(decision);
    return;
  }
  account.last.push(decision);
  if (account.last.length <= LAST_DECISION_LIMIT) return;
  account.last.shift();
  account.omitted += 1;
};

const toRequestAccount = (account: Account): RequestAccount => ({
  ...account.subject,
  arrivedAtMs: account.arrivedAtMs,
  endedAtMs: account.endedAtMs,
  code: account.code,
  decisions: [...account.first, ...account.last],
  omitted: account.omitted,
});

const createTrail = (account: Account, clock: Clock): RequestTrail => ({
  record: (kind, detail, facts = {}) => {
    if (account.endedAtMs !== undefined) return;
    const atMs = clock.getNowMs();
    addDecision(account, { ...facts, atMs, kind, detail: detail.slice(0, DETAIL_LIMIT) });
  },
  finish: (code) => {
    if (account.endedAtMs !== undefined) return;
    account.endedAtMs = clock.getNowMs();
    account.code = code;
  },
});

/**
 * Creates a journal; the oldest request makes room for a new one.
 *
 * @param clock - the source of time
 * @param limit - requests kept
 * @returns the journal
 */
export const createRequestJournal = (
  clock: Clock,
  limit: number = JOURNAL_REQUEST_LIMIT,
): RequestJournal => {
  const accounts = new Map<string, Account>();
  const removeOldest = (): void => {
    for (const requestId of accounts.keys()) {
      if (accounts.size < limit) return;
      accounts.delete(requestId);
    }
  };
  const start = (subject: RequestSubject): RequestTrail => {
    const account: Account = {
      subject,
      arrivedAtMs: clock.getNowMs(),
      first: [],
      last: [],
      omitted: 0,
      endedAtMs: undefined,
      code: undefined,
    };
    // A caller may send an id again: its latest request is the one that it asks about.
    accounts.delete(subject.requestId);
    removeOldest();
    accounts.set(subject.requestId, account);
    return createTrail(account, clock);
  };
  return {
    start,
    find: (requestId) => {
      const account = accounts.get(requestId);
      return account === undefined ? undefined : toRequestAccount(account);
    },
    list: (count) =>
      [...accounts.values()]
        .slice(accounts.size - Math.max(0, Math.min(count, accounts.size)))
        .reverse()
        .map(toRequestAccount),
  };
};
