/** What an engine is ordered to do. */
export enum OrderKind {
  Load = 'load',
  Unload = 'unload',
  Role = 'role',
}

/** How an order ended. */
export enum OrderOutcome {
  Done = 'done',
  /** The engine has seen a higher fencing number. */
  Stale = 'stale',
  /** The engine refused it, or could not be reached. */
  Failed = 'failed',
}
