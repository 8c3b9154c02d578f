/** How a request of the model ended. */
export enum ModelOutcome {
  Finished = 'finished',
  Refused = 'refused',
  Cut = 'cut',
}
