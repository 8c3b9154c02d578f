/** How a daemon distributes requests over engines when it has only delayed load reports. */
export enum SpreadPolicy {
  /** The less loaded of two engines picked at random. */
  TwoChoices = 'two_choices',
  /** The engine with the lowest reported load; all daemons with the same report pick the same engine. */
  LeastReported = 'least_reported',
}
