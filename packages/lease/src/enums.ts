/** Phase of a daemon with respect to a lease; the state chart is in lease.json. */
export enum LeasePhase {
  Standby = 'standby',
  Acquiring = 'acquiring',
  /** The lease is acquired, but engine orders of the previous holder may still reach an engine. */
  Settling = 'settling',
  Holding = 'holding',
  /** The lease is being released, and claimed again later at the earliest. */
  Pausing = 'pausing',
  Releasing = 'releasing',
  Stopped = 'stopped',
}

/** Transitions between phases; the state chart is in lease.json. */
export enum LeaseTransition {
  Claim = 'claim',
  Acquire = 'acquire',
  Settle = 'settle',
  Lose = 'lose',
  Pause = 'pause',
  Stop = 'stop',
  Release = 'release',
}

/** Events that the lease state machine handles. */
export enum LeaseEventKind {
  Tick = 'tick',
  Read = 'read',
  Written = 'written',
  /** The platform holds another version than the one that the conditional write named. */
  WriteConflict = 'write_conflict',
  /** A call failed; if it was a write, it may still have taken effect. */
  CallFailed = 'call_failed',
  /** An engine has received an order with a higher fencing number. */
  Fenced = 'fenced',
  /** The lease is to be renewed now. */
  Renew = 'renew',
  /** The lease is to be released, and not claimed again for some time. */
  Pause = 'pause',
  Stop = 'stop',
}

/** Actions that the lease state machine requests. */
export enum LeaseActionKind {
  Read = 'read',
  Write = 'write',
}
