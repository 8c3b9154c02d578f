/** Where a daemon stands with a lease; lease.json. */
export enum LeasePhase {
  Standby = 'standby',
  Acquiring = 'acquiring',
  /** It has the lease, and waits until the orders of the former holder can no longer arrive. */
  Settling = 'settling',
  Holding = 'holding',
  Releasing = 'releasing',
  Stopped = 'stopped',
}

/** What moves a daemon from one phase to another; lease.json. */
export enum LeaseTransition {
  Claim = 'claim',
  Acquire = 'acquire',
  Settle = 'settle',
  Lose = 'lose',
  Stop = 'stop',
  Release = 'release',
}

/** What the lease machine is told. */
export enum LeaseEventKind {
  Tick = 'tick',
  Read = 'read',
  Written = 'written',
  /** Another version stands. */
  Refused = 'refused',
  /** A call failed; a write may have taken effect. */
  CallFailed = 'call_failed',
  /** An engine has seen a higher fencing number. */
  Outranked = 'outranked',
  Stop = 'stop',
}

/** What the lease machine wants done. */
export enum LeaseActionKind {
  Read = 'read',
  Write = 'write',
}
