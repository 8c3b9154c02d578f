import type { ResultCode } from '@sardinegrade/common';
import type { DecisionKind } from './enums.js';

/** Identifies a request; known when it arrives. */
export interface RequestIdentity {
  readonly requestId: string;
  readonly workspace: string;
  readonly traceId: string | undefined;
}

/** Service, class and tier of a request; known once the request is parsed. */
export interface RequestTarget {
  readonly service: string;
  readonly className: string;
  readonly tier: string;
}

/** Upstream and result code of a decision. */
export interface DecisionMetadata {
  readonly upstream?: string | undefined;
  readonly code?: ResultCode | undefined;
}

/** One decision on a request. */
export interface Decision extends DecisionMetadata {
  readonly atMs: number;
  readonly kind: DecisionKind;
  /** Text for administrators; must not contain keys or parts of a body. */
  readonly detail: string;
}

/** Identity, decisions and result of one request. */
export interface JournalEntry extends RequestIdentity {
  /** Undefined if the request was refused before its target was known. */
  readonly target: RequestTarget | undefined;
  readonly arrivedAtMs: number;
  /** Undefined while the request is in progress. */
  readonly endedAtMs: number | undefined;
  /** Result code of a failed request; undefined if the answer is complete or the request is in progress. */
  readonly code: ResultCode | undefined;
  readonly decisions: readonly Decision[];
  /** Number of dropped decisions between the first and the last ones. */
  readonly omitted: number;
}

/** Records the decisions of one request while it is in progress. */
export interface RequestTrail {
  readonly setTarget: (target: RequestTarget) => void;
  readonly getTarget: () => RequestTarget | undefined;
  readonly record: (kind: DecisionKind, detail: string, metadata?: DecisionMetadata) => void;
  /**
   * Finishes the journal entry; later calls have no effect.
   *
   * @param code - result code of the failure; undefined for a complete answer
   */
  readonly finish: (code?: ResultCode) => void;
  readonly isFinished: () => boolean;
}

/** In-memory journal with the decisions of recent requests on this daemon; its size is bounded. */
export interface RequestJournal {
  /** Starts an entry; it is stored once it has a decision or a target. */
  readonly start: (identity: RequestIdentity) => RequestTrail;
  readonly find: (requestId: string) => JournalEntry | undefined;
  /** Lists entries, latest first. */
  readonly list: (limit: number) => readonly JournalEntry[];
}
