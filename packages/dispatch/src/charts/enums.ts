/** States of a request at its dispatcher; the transitions are in charts/request.json. */
export enum RequestState {
  Waiting = 'waiting',
  Granted = 'granted',
  Paused = 'paused',
  Cancelling = 'cancelling',
  Ended = 'ended',
}

/** Events of a request at its dispatcher. */
export enum RequestEvent {
  Grant = 'grant',
  /** A grant of an earlier dispatcher is registered after a fail-over. */
  Hold = 'hold',
  Refuse = 'refuse',
  Withdraw = 'withdraw',
  Pause = 'pause',
  Resume = 'resume',
  Cancel = 'cancel',
  Release = 'release',
  /** The engine was lost. */
  Lose = 'lose',
}

/** Health of an engine at its dispatcher; the transitions are in charts/engineConnection.json. */
export enum EngineHealth {
  Healthy = 'healthy',
  /** Slower than the other engines of the shard, or recovering after a passed probe: it receives fewer requests. */
  Reduced = 'reduced',
  /**
   * Much slower than the other engines of the shard, or its last probe failed: it receives requests only if its pool
   * has no available engine.
   */
  Suspended = 'suspended',
  Probing = 'probing',
  Lost = 'lost',
  Leaving = 'leaving',
}

/** Events that change the health of an engine. */
export enum EngineHealthEvent {
  Slow = 'slow',
  Stall = 'stall',
  Recover = 'recover',
  Probe = 'probe',
  ProbePassed = 'probe_passed',
  ProbeFailed = 'probe_failed',
  Leave = 'leave',
  Return = 'return',
  Lose = 'lose',
}

/** Suspicion state of a request fingerprint; the transitions are in charts/quarantine.json. */
export enum SuspicionState {
  Clear = 'clear',
  /** A request with it ran on an engine that died; it may be retried once. */
  Suspect = 'suspect',
  /** Its single retry is running. */
  Retrying = 'retrying',
  Quarantined = 'quarantined',
}

/** Events that change the suspicion state of a fingerprint. */
export enum SuspicionEvent {
  Suspect = 'suspect',
  Retry = 'retry',
  Finish = 'finish',
  Withdraw = 'withdraw',
  /** The engine that ran it crashed. */
  Crash = 'crash',
  /** Another dispatcher quarantined it. */
  QuarantinedElsewhere = 'convict',
  Expire = 'expire',
}
