/** What is known of a member, in the order in which states override each other at one incarnation. */
export enum MemberState {
  Alive = 'alive',
  Suspect = 'suspect',
  Leaving = 'leaving',
  Dead = 'dead',
}

/** What the membership machine is told. */
export enum MembershipEventKind {
  Tick = 'tick',
  Ping = 'ping',
  PingAnswered = 'ping_answered',
  PingFailed = 'ping_failed',
  Sync = 'sync',
  SyncAnswered = 'sync_answered',
  SyncFailed = 'sync_failed',
  VmsListed = 'vms_listed',
  VmsUnlisted = 'vms_unlisted',
  NewsFound = 'news_found',
  Configured = 'configured',
  Leave = 'leave',
}

/** What the membership machine wants done. */
export enum MembershipActionKind {
  Ping = 'ping',
  /** Ping over a connection of its own, in case that the old one has fallen silent. */
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
