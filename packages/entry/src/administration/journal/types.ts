import type { ResultCode } from '@sardinegrade/common';
import type { DecisionKind } from './enums.js';

/** What identifies a request in the journal from its arrival on. */
export interface RequestSubject {
  readonly requestId: string;
  readonly workspace: string;
  readonly traceId: string | undefined;
}

/** What the request turns out to ask for. */
export interface RequestTarget {
  readonly service: string;
  readonly className: string;
  readonly tier: string;
}

/** What a decision was about. */
export interface DecisionFacts {
  readonly upstream?: string | undefined;
  readonly code?: ResultCode | undefined;
}

/** One decision. */
export interface Decision extends DecisionFacts {
  readonly atMs: number;
  readonly kind: DecisionKind;
  /** A sentence for operators; never a key or a part of a body. */
  readonly detail: string;
}

/** The journal's account of one request. */
export interface RequestAccount extends RequestSubject {
  /** Undefined where the request was refused before its target was known. */
  readonly target: RequestTarget | undefined;
  readonly arrivedAtMs: number;
  /** Undefined while the request is in progress. */
  readonly endedAtMs: number | undefined;
  /** Undefined where the caller got its whole answer or still waits for it. */
  readonly code: ResultCode | undefined;
  readonly decisions: readonly Decision[];
  /** Decisions left out between the first and the last ones. */
  readonly omitted: number;
}

/** Takes the decisions of one request while it is under way. */
export interface RequestTrail {
  readonly setTarget: (target: RequestTarget) => void;
  readonly getTarget: () => RequestTarget | undefined;
  readonly record: (kind: DecisionKind, detail: string, facts?: DecisionFacts) => void;
  /**
   * Ends the account; later calls change nothing.
   *
   * @param code - how it ended; undefined for a whole answer
   */
  readonly finish: (code?: ResultCode) => void;
  readonly isFinished: () => boolean;
}

/** A bounded memory of the decisions of recent requests on this daemon. */
export interface RequestJournal {
  /** Begins an account; it is kept from its first decision or target on. */
  readonly start: (subject: RequestSubject) => RequestTrail;
  readonly find: (requestId: string) => RequestAccount | undefined;
  /** Lists accounts, latest first. */
  readonly list: (limit: number) => readonly RequestAccount[];
}
