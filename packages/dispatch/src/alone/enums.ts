/** How a daemon spreads requests over engines that it knows from lagging reports only. */
export enum SpreadPolicy {
  /** The less loaded of two engines taken at random. */
  TwoChoices = 'two_choices',
  /** The engine with the least reported load; daemons that see the same report all go there. */
  LeastReported = 'least_reported',
}
