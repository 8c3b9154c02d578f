/** How an attempt at an engine ended. */
export enum AttemptEnd {
  /** The complete answer was streamed, with its closing marker. */
  Finished = 'finished',
  /** The upstream reported that it did not run the request. */
  Refused = 'refused',
  /** The upstream rejected the request as invalid. */
  Rejected = 'rejected',
  /** No connection was made; nothing was sent. */
  NotSent = 'not_sent',
  /** The stream or connection broke before the closing marker, or the engine responded with a server error. */
  Broken = 'died',
  /** No progress within the timeout. */
  TimedOut = 'silent',
  /** The response carried another attempt's id, or its events were invalid or had a gap. */
  Mismatched = 'crossed',
  /** The router ended the attempt. */
  Aborted = 'aborted',
}

/** Commands for a running attempt. */
export enum AttemptCommand {
  Cancel = 'cancel',
  Pause = 'pause',
  Resume = 'resume',
}
