import {
  DETAIL_LIMIT_CHARACTERS,
  FIRST_DECISION_LIMIT,
  JOURNAL_REQUEST_LIMIT,
  LAST_DECISION_LIMIT,
} from './constants.js';

import type { Clock, ResultCode } from '@sardinegrade/common';
import type {
  Decision,
  JournalEntry,
  RequestJournal,
  RequestIdentity,
  RequestTarget,
  RequestTrail,
} from './types.js';

interface EntryState {
  readonly identity: RequestIdentity;
  readonly arrivedAtMs: number;
  target: RequestTarget | undefined;
  readonly firstDecisions: Decision[];
  readonly lastDecisions: Decision[];
  omitted: number;
  endedAtMs: number | undefined;
  code: ResultCode | undefined;
}

const addDecision = (entry: EntryState, decision: Decision): void => {
  if (entry.firstDecisions.length < FIRST_DECISION_LIMIT) {
    entry.firstDecisions.push(decision);
    return;
  }
  entry.lastDecisions.push(decision);
  if (entry.lastDecisions.length <= LAST_DECISION_LIMIT) return;
  entry.lastDecisions.shift();
  entry.omitted += 1;
};

const toJournalEntry = (entry: EntryState): JournalEntry => ({
  ...entry.identity,
  target: entry.target,
  arrivedAtMs: entry.arrivedAtMs,
  endedAtMs: entry.endedAtMs,
  code: entry.code,
  decisions: [...entry.firstDecisions, ...entry.lastDecisions],
  omitted: entry.omitted,
});

const createTrail = (entry: EntryState, clock: Clock, keep: () => void): RequestTrail => {
  const isFinished = (): boolean => entry.endedAtMs !== undefined;
  return {
    setTarget: (target) => {
      keep();
      entry.target = target;
    },
    getTarget: () => entry.target,
    record: (kind, detail, metadata = {}) => {
      if (isFinished()) return;
      keep();
      const atMs = clock.getNowMs();
      addDecision(entry, { ...metadata, atMs, kind, detail: detail.slice(0, DETAIL_LIMIT_CHARACTERS) });
    },
    finish: (code) => {
      if (isFinished()) return;
      entry.endedAtMs = clock.getNowMs();
      entry.code = code;
    },
    isFinished,
  };
};

/**
 * Creates a journal. When it is full, the oldest entry is evicted.
 *
 * @param clock - source of the decision times
 * @param limit - number of entries kept
 * @returns an empty journal
 */
export const createRequestJournal = (
  clock: Clock,
  limit: number = JOURNAL_REQUEST_LIMIT,
): RequestJournal => {
  const entries = new Map<string, EntryState>();
  const keepEntry = (requestId: string, entry: EntryState): void => {
    // A request id may be used again; the entry of the latest request replaces the earlier one.
    entries.delete(requestId);
    for (const oldest of entries.keys()) {
      if (entries.size < limit) break;
      entries.delete(oldest);
    }
    entries.set(requestId, entry);
  };
  const start = (identity: RequestIdentity): RequestTrail => {
    const entry: EntryState = {
      identity,
      target: undefined,
      arrivedAtMs: clock.getNowMs(),
      firstDecisions: [],
      lastDecisions: [],
      omitted: 0,
      endedAtMs: undefined,
      code: undefined,
    };
    let isKept = false;
    const keep = (): void => {
      if (!isKept) keepEntry(identity.requestId, entry);
      isKept = true;
    };
    return createTrail(entry, clock, keep);
  };
  return {
    start,
    find: (requestId) => {
      const entry = entries.get(requestId);
      return entry === undefined ? undefined : toJournalEntry(entry);
    },
    list: (count) =>
      [...entries.values()]
        .slice(entries.size - Math.max(0, Math.min(count, entries.size)))
        .reverse()
        .map(toJournalEntry),
  };
};
