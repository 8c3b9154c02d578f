/** Events that the distribution state machine handles. */
export enum DistributionEventKind {
  Tick = 'tick',
  /** A peer reported its generation in a ping or a sync. */
  GenerationReported = 'heard',
  WatcherChanged = 'watcher_changed',
  Fetched = 'fetched',
  FetchFailed = 'fetch_failed',
  PlatformRead = 'platform_read',
  PlatformWatched = 'platform_watched',
  PlatformFailed = 'platform_failed',
  /** This daemon wrote a new generation to the platform. */
  Stored = 'stored',
}

/** Actions that the distribution state machine requests. */
export enum DistributionActionKind {
  Fetch = 'fetch',
  Read = 'read',
  Watch = 'watch',
  /** Makes the configuration of a record the active one, unless its text cannot be parsed. */
  Install = 'install',
}
