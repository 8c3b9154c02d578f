/** Kind of an order to an engine. */
export enum OrderKind {
  /** Load a model, with its version and adapter if given. */
  Load = 'load',
  /** Unload a model or an adapter. */
  Unload = 'unload',
  /** Change the role of the engine. */
  Role = 'role',
}

/** Outcome of an order. */
export enum OrderOutcome {
  Done = 'done',
  /** The engine has seen a higher fencing number, so another process holds the lease. */
  Stale = 'stale',
  /** The engine refused it, or could not be reached. */
  Failed = 'failed',
}
