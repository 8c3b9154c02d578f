/**
 * Result codes of all errors that are reported to callers and operators. docs/RESULT-CODES.md
 * explains each.
 */
export enum ResultCode {
  MissingKey = 1001,
  InvalidKey = 1002,
  UnknownModel = 1003,
  UnknownService = 1004,
  MalformedBody = 1005,
  InvalidField = 1006,
  BodyTooLarge = 1007,
  MethodNotAllowed = 1008,
  MissingIdempotencyKey = 1009,
  UnknownClass = 1010,
  ClassNotAllowed = 1011,
  UnknownPath = 1012,
  InvalidHeader = 1013,

  Overloaded = 2001,
  QueueFull = 2002,
  NoUpstream = 2003,
  DependencyDown = 2004,
  Quarantined = 2005,
  ShuttingDown = 2006,
  DeadlineBeforeStart = 2007,
  RetryBudgetSpent = 2008,
  PlatformUnavailable = 2009,
  NotReady = 2010,
  WriteBudgetSpent = 2011,

  UpstreamFailed = 3001,
  UpstreamTimeout = 3002,
  AnswerCut = 3003,
  Preempted = 3004,
  CallerGone = 3005,
  SuspectFailed = 3006,

  OrderInProgress = 4001,
  OrderUnknown = 4002,
  OrderBodyMismatch = 4003,
  OrderExpired = 4004,
  AnswerNotKept = 4005,
  OrderNotFound = 4006,
  OrderNotSettleable = 4007,

  GenerationConflict = 5001,
  ConfigurationInvalid = 5002,
  RoleMissing = 5003,
  UnknownTarget = 5004,

  PeerUnreachable = 6001,
  StaleFencing = 6002,
  LeaseLost = 6003,

  SettingInvalid = 7001,

  Internal = 9001,
}

/** Whether a request that ended with an error was executed. */
export enum RunState {
  NotRun = 'not_run',
  Run = 'run',
  Unknown = 'unknown',
}
