/** Where an attempt stands inside an engine. */
export enum AttemptState {
  Queued = 'queued',
  Running = 'running',
  Paused = 'paused',
  Ended = 'ended',
}
