/** What an answer of a route looks like and whether its requests may be repeated. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** May run at most once. */
  Unsafe = 'unsafe',
  /** Answers with a series of events; may run at most once unless the route is resumable. */
  Streaming = 'streaming',
}
