/** Why a send to a worker produced no answer that can be relayed to the caller. */
export enum SendFailure {
  /** No connection was established: no byte of the request left this VM. */
  NotSent = 'not_sent',
  /** The request with the headers for this worker is not valid HTTP: no byte of it left this VM. */
  Unsendable = 'unsendable',
  /** This VM learned that the worker is to get no requests before anything of this one left. */
  Excluded = 'excluded',
  /** The worker stated that it has not run the request and never will. */
  Rejected = 'rejected',
  /** The connection broke, or the received data is no complete answer to this request. */
  Broken = 'broken',
  /** No answer, or no further event, within the timeout. */
  Silent = 'silent',
  /** A complete answer that reports a failure of the worker. */
  ErrorAnswer = 'error_answer',
  /** This VM cancelled the send, and not for its worker: a part of its prompt crashes workers, or memory is short. */
  Withdrawn = 'withdrawn',
}

/** What happens to a request after a failed send. */
export enum NextStep {
  /** Send it to a worker again. */
  SendAgain = 'send_again',
  /** Reply that it has not run. */
  RefuseNotRun = 'refuse_not_run',
  /** Reply that it failed and may have run. */
  Fail = 'fail',
}
