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
  RequestTarget,
  RequestTrail,
} from './types.js';

interface Account {
  readonly subject: RequestSubject;
  readonly arrivedAtMs: number;
  target: RequestTarget | undefined;
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
  target: account.target,
  arrivedAtMs: account.arrivedAtMs,
  endedAtMs: account.endedAtMs,
  code: account.code,
  decisions: [...account.first, ...account.last],
  omitted: account.omitted,
});

const createTrail = (account: Account, clock: Clock, keep: () => void): RequestTrail => {
  const isFinished = (): boolean => account.endedAtMs !== undefined;
  return {
    setTarget: (target) => {
      keep();
      account.target = target;
    },
    getTarget: () => account.target,
    record: (kind, detail, facts = {}) => {
      if (isFinished()) return;
      keep();
      const atMs = clock.getNowMs();
      addDecision(account, { ...facts, atMs, kind, detail: detail.slice(0, DETAIL_LIMIT) });
    },
    finish: (code) => {
      if (isFinished()) return;
      account.endedAtMs = clock.getNowMs();
      account.code = code;
    },
    isFinished,
  };
};

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
  const keepAccount = (requestId: string, account: Account): void => {
    // A caller may send an id again: its latest request is the one that it asks about.
    accounts.delete(requestId);
    for (const oldest of accounts.keys()) {
      if (accounts.size < limit) break;
      accounts.delete(oldest);
    }
    accounts.set(requestId, account);
  };
  const start = (subject: RequestSubject): RequestTrail => {
    const account: Account = {
      subject,
      target: undefined,
      arrivedAtMs: clock.getNowMs(),
      first: [],
      last: [],
      omitted: 0,
      endedAtMs: undefined,
      code: undefined,
    };
    let isKept = false;
    const keep = (): void => {
      if (!isKept) keepAccount(subject.requestId, account);
      isKept = true;
    };
    return createTrail(account, clock, keep);
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
