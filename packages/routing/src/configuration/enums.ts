/** Whether a route's requests may be sent again, and whether its answers are event streams. */
export enum RouteKind {
  /** Idempotent: may run more than once. */
  Safe = 'safe',
  /** May run at most once. */
  Unsafe = 'unsafe',
  /** Answered with an event stream; may run at most once unless the route is resumable. */
  Streaming = 'streaming',
}
