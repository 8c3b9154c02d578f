/** Kinds of decisions on a request. */
export enum DecisionKind {
  Received = 'received',
  Queued = 'queued',
  Granted = 'granted',
  Refused = 'refused',
  /** Currently not recorded: no dispatcher was reachable and the daemon chose an upstream locally. */
  DecidedLocally = 'decided_alone',
  /** Currently not recorded; `Granted` marks the start of an attempt. */
  AttemptStarted = 'attempt_started',
  FirstToken = 'first_token',
  AttemptFailed = 'attempt_failed',
  Retried = 'retried',
  Resumed = 'resumed',
  Preempted = 'preempted',
  /** Currently not recorded. */
  Quarantined = 'quarantined',
  /** Currently not recorded. */
  OrderRecorded = 'order_recorded',
  OrderReplayed = 'order_replayed',
  Answered = 'answered',
  Failed = 'failed',
}
