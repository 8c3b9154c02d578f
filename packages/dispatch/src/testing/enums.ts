/** How a simulated request ended. */
export enum ModelOutcome {
  Finished = 'finished',
  Refused = 'refused',
  Cut = 'cut',
}
