/** Outcome of a retry decision. */
export enum RetryVerdict {
  /** Start the call again from the beginning. */
  Repeat = 'repeat',
  /** Continue at the next token that the caller has not received. */
  Resume = 'resume',
  /** Do not retry; report the failure to the caller. */
  Stop = 'stop',
}
