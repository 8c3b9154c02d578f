/** What is to be done after a failed attempt. */
export enum RetryVerdict {
  /** Begin anew. */
  Repeat = 'repeat',
  /** Go on at the next token that the caller lacks. */
  Resume = 'resume',
  /** Tell the caller. */
  Stop = 'stop',
}
