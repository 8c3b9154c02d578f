/** The states of an order's record, as in orderStates.json. */
export enum OrderState {
  /** Recorded and waiting for a place; any daemon may take it over and run it. */
  Accepted = 'accepted',
  /** The service may have been called; never run again by anyone. */
  Dispatching = 'dispatching',
  /** Carried out; the record holds the answer where it fits. */
  Done = 'done',
  /** Dispatched, and nobody knows whether it was carried out. */
  Unknown = 'unknown',
  /** Known not to have been carried out; a resend runs it. */
  NotRun = 'not_run',
}

/** What moves an order's record from state to state, as in orderStates.json. */
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

/** How a call to a service ended. */
export enum CallOutcome {
  /** The service gave its whole answer to this attempt. */
  Answered = 'answered',
  /** The service answered this attempt, with more than this daemon holds. */
  TooLarge = 'too_large',
  /** Nothing was sent. */
  NotStarted = 'not_started',
  /** Something was sent and no whole answer came back. */
  Unknown = 'unknown',
}

/** What a service's status look-up says of an order. */
export enum LookupOutcome {
  Done = 'done',
  /** The service has not carried it out so far. */
  Absent = 'absent',
  Unavailable = 'unavailable',
}

/** How the writing of a record ended. */
export enum SaveOutcome {
  Saved = 'saved',
  /** Another version stands; this write had no effect and never will. */
  Conflict = 'conflict',
  /** The platform refused the write; it had no effect and never will. */
  NotSaved = 'not_saved',
  /** The write may have taken effect, or may yet. */
  Uncertain = 'uncertain',
}

/** What an operator found out about an unknown order. */
export enum SettlementVerdict {
  Run = 'run',
  NotRun = 'not_run',
}
