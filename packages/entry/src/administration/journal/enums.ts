/** The decisions in the life of a request. */
export enum DecisionKind {
  Received = 'received',
  Queued = 'queued',
  Granted = 'granted',
  Refused = 'refused',
  /** Every dispatcher was out of reach and the daemon chose an upstream by itself. */
  DecidedAlone = 'decided_alone',
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
