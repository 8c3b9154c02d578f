/** Kinds of decisions on a request. */
export enum DecisionKind {
  Received = 'received',
  Queued = 'queued',
  Granted = 'granted',
  Refused = 'refused',
  /** No dispatcher was reachable and the daemon chose an upstream locally. */
  DecidedLocally = 'decided_alone',
  AttemptStarted = 'attempt_started',
  FirstToken = 'first_token',
  AttemptFailed = 'attempt_failed',
  Retried = 'retried',
  Resumed = 'resumed',
  Preempted = 'preempted',
  Quarantined = 'quarantined',
  OrderRecorded = 'order_recorded',
  OrderReplayed = 'order_replayed',
  Answered = 'answered',
  Failed = 'failed',
}
