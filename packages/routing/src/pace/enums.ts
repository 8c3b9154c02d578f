/** What a sample of a worker's pace is taken from. */
export enum SampleKind {
  /** A first event that was not later than expected. */
  OnTime = 'on_time',
  /** A rejection, a failure, or a first event much later than expected. */
  Bad = 'bad',
  /** The end of a stream, which tells the gaps between its events. */
  StreamEnd = 'stream_end',
}
