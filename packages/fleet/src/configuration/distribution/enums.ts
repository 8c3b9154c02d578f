/** What the distribution machine is told. */
export enum DistributionEventKind {
  Tick = 'tick',
  /** Another daemon's generation, from a ping or a sync. */
  Heard = 'heard',
  WatcherChanged = 'watcher_changed',
  Fetched = 'fetched',
  FetchFailed = 'fetch_failed',
  PlatformRead = 'platform_read',
  PlatformWatched = 'platform_watched',
  PlatformFailed = 'platform_failed',
  /** This daemon wrote a new generation itself. */
  Stored = 'stored',
}

/** What the distribution machine wants done. */
export enum DistributionActionKind {
  Fetch = 'fetch',
  Read = 'read',
  Watch = 'watch',
  Install = 'install',
}
