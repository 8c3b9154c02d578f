/** State of a member. At the same incarnation a later value overrides an earlier one. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead',
}

/** Events that the membership state machine handles. */
export enum MembershipEventKind {
  Tick = 'tick',
  Ping = 'ping',
  PingAnswered = 'ping_answered',
  PingFailed = 'ping_failed',
  Sync = 'sync',
  SyncAnswered = 'sync_answered',
  SyncFailed = 'sync_failed',
  VmsListed = 'vms_listed',
  ListVmsFailed = 'vms_unlisted',
  NewsFound = 'news_found',
  ConfigurationInstalled = 'configured',
  Leave = 'leave',
}

/** Actions that the membership state machine requests. */
export enum MembershipActionKind {
  Ping = 'ping',
  /** Ping over a new connection, in case the existing one is broken without an error. */
  PingFresh = 'ping_fresh',
  PingIndirect = 'ping_indirect',
  ReplyPing = 'reply_ping',
  Sync = 'sync',
  ReplySync = 'reply_sync',
  ListVms = 'list_vms',
  ReportChange = 'report_change',
  ReportNews = 'report_news',
  ReportGeneration = 'report_generation',
}
