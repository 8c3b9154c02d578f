/** How a simulated request ended. */
export enum SimulatedOutcome {
  Finished = 'finished',
  Refused = 'refused',
  /** Ended before the complete answer was generated: refused after a part of it, or given up after too many crashes. */
  Interrupted = 'cut',
}
