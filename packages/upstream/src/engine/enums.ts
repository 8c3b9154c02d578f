/** How an attempt at an engine ended. */
export enum AttemptEnd {
  /** The whole answer was streamed, with its closing marker. */
  Finished = 'finished',
  /** The upstream said that it did not run the request. */
  Refused = 'refused',
  /** The upstream rejected the request as invalid. */
  Rejected = 'rejected',
  /** No connection was made; nothing was sent. */
  NotSent = 'not_sent',
  /** The stream or connection broke before the closing marker. */
  Died = 'died',
  /** No progress within the timeout. */
  Silent = 'silent',
  /** The answer carried another attempt's id, or its events left a gap. */
  Crossed = 'crossed',
  /** This side ended the attempt. */
  Aborted = 'aborted',
}

/** Orders for a running attempt. */
export enum AttemptCommand {
  Cancel = 'cancel',
  Pause = 'pause',
  Resume = 'resume',
}
