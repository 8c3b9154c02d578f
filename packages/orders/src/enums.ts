/** States of an order record, as defined in orderStates.json. */
export enum OrderState {
  /** Recorded and waiting for a slot of its service; another daemon may take it over and run it. */
  Accepted = 'accepted',
  /** The service may have been called; no daemon runs the order again unless it turns out not to have run. */
  Dispatching = 'dispatching',
  /** Carried out; the record contains the answer unless it was too large or is not known. */
  Done = 'done',
  /** Dispatched, but it is not known whether the service carried it out. */
  Unknown = 'unknown',
  /** Known not to have been carried out; a request with the same key runs it. */
  NotRun = 'not_run',
}

/** Events that change the state of an order record, as defined in orderStates.json. */
export enum OrderEvent {
  Accept = 'ACCEPT',
  Dispatch = 'DISPATCH',
  Renew = 'RENEW',
  Withdraw = 'WITHDRAW',
  Answered = 'ANSWERED',
  NotStarted = 'NOT_STARTED',
  AnswerLost = 'ANSWER_LOST',
  SettleRun = 'SETTLE_RUN',
  SettleNotRun = 'SETTLE_NOT_RUN',
}

/** Outcome of a call to a service. */
export enum CallOutcome {
  /** The service's complete answer to this attempt was received. */
  Answered = 'answered',
  /** The service answered this attempt, but the answer exceeds the size that a daemon buffers. */
  TooLarge = 'too_large',
  /** No byte of the request was sent. */
  NotStarted = 'not_started',
  /** At least part of the request was sent, but no complete answer was received. */
  Unknown = 'unknown',
}

/** Result of asking a service for the status of an order. */
export enum LookupOutcome {
  /** The service has carried the order out. */
  Done = 'done',
  /** The service has not carried the order out so far. */
  Absent = 'absent',
  /** The service gave no usable reply. */
  Unavailable = 'unavailable',
}

/** Outcome of writing a record. */
export enum SaveOutcome {
  Saved = 'saved',
  /** The record has another version; this write had no effect and never will. */
  Conflict = 'conflict',
  /**
   * Every attempt failed without effect, because the platform was unavailable, limited the rate or rejected
   * the write. The write will not take effect later.
   */
  NotSaved = 'not_saved',
  /** The write may have taken effect, or may do so later. */
  Uncertain = 'uncertain',
}

/** An operator's decision on whether an order was carried out. */
export enum SettlementVerdict {
  Run = 'run',
  NotRun = 'not_run',
}
