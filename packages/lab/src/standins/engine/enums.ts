/** State of an attempt in an engine. */
export enum AttemptState {
  Queued = 'queued',
  Running = 'running',
  Paused = 'paused',
  Ended = 'ended',
}
