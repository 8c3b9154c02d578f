/** States of an ask at its dispatcher; charts/request.json holds the transitions. */
export enum RequestState {
  Waiting = 'waiting',
  Granted = 'granted',
  Paused = 'paused',
  Cancelling = 'cancelling',
  Ended = 'ended',
}

/** What happens to an ask at its dispatcher. */
export enum RequestEvent {
  Grant = 'grant',
  Hold = 'hold',
  Refuse = 'refuse',
  Withdraw = 'withdraw',
  Pause = 'pause',
  Resume = 'resume',
  Cancel = 'cancel',
  Release = 'release',
  Lose = 'lose',
}

/** Health of an engine as its dispatcher sees it; charts/engineConnection.json. */
export enum EngineHealth {
  Healthy = 'healthy',
  /** Slower than its shard: it gets less work. */
  Reduced = 'reduced',
  /** Much slower than its shard: it gets nothing until a probe passes. */
  Suspended = 'suspended',
  Probing = 'probing',
  Lost = 'lost',
  Leaving = 'leaving',
}

/** What happens to an engine's health. */
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

/** What is held against a fingerprint; charts/quarantine.json. */
export enum SuspicionState {
  Clear = 'clear',
  /** It ran on an engine that died; it may be retried once. */
  Suspect = 'suspect',
  /** Its one retry runs. */
  Retrying = 'retrying',
  Quarantined = 'quarantined',
}

/** What happens to a fingerprint. */
export enum SuspicionEvent {
  Suspect = 'suspect',
  Retry = 'retry',
  Finish = 'finish',
  Withdraw = 'withdraw',
  /** The engine that ran it died. */
  Crash = 'crash',
  /** Another dispatcher has quarantined it. */
  Convict = 'convict',
  Expire = 'expire',
}
