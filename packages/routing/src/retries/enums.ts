/** How a send to a worker ended, where it brought no answer that the caller can have. */
export enum SendFailure {
  /** No connection: nothing of the request left this VM. */
  NotSent = 'not_sent',
  /** The worker said that it has not run the request and never will. */
  Rejected = 'rejected',
  /** The connection broke, or what came is no whole answer to this request. */
  Broken = 'broken',
  /** No answer, or no further event, within the time that this VM waits. */
  Silent = 'silent',
  /** A whole answer that reports a failure of the worker. */
  ErrorAnswer = 'error_answer',
}

/** What becomes of a request after a failed send. */
export enum NextStep {
  SendAgain = 'send_again',
  /** Answer truthfully that it has not run. */
  RefuseNotRun = 'refuse_not_run',
  /** Answer that it failed and may have run. */
  Fail = 'fail',
}
