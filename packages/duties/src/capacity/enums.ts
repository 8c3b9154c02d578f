/** Kinds of workers; each is ordered and counted by itself. */
export enum WorkerKind {
  Ordinary = 'ordinary',
  /** Cheaper, but all of a data centre may be reclaimed at once. */
  Spot = 'spot',
}

/** Why a plan changes the number of workers. */
export enum PlanReason {
  Unchanged = 'unchanged',
  /** The workers in force do not meet the needs. */
  Shortfall = 'shortfall',
  /** Cheaper workers are ordered before dearer ones are given up. */
  Exchange = 'exchange',
  /** More workers are in force than needed. */
  Relief = 'relief',
}
