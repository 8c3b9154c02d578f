/** The names of all metrics; docs/METRICS.md explains each. */
export enum MetricName {
  Requests = 'sardinegrade_requests_total',
  WorkspaceRequests = 'sardinegrade_workspace_requests_total',
  Refusals = 'sardinegrade_refusals_total',
  Attained = 'sardinegrade_attained_total',
  WorkspaceAttained = 'sardinegrade_workspace_attained_total',
  GoodTokens = 'sardinegrade_good_tokens_total',
  WorkspaceTokens = 'sardinegrade_workspace_tokens_total',
  WastedTokens = 'sardinegrade_wasted_tokens_total',
  Grants = 'sardinegrade_grants_total',
  Preemptions = 'sardinegrade_preemptions_total',
  Retries = 'sardinegrade_retries_total',
  ResumedStreams = 'sardinegrade_resumed_streams_total',
  UpstreamAttempts = 'sardinegrade_upstream_attempts_total',
  OrderWrites = 'sardinegrade_order_writes_total',
  PlatformCalls = 'sardinegrade_platform_calls_total',
  FirstToken = 'sardinegrade_first_token_seconds',
  TokenInterval = 'sardinegrade_token_interval_seconds',
  QueueWait = 'sardinegrade_queue_wait_seconds',
  RequestDuration = 'sardinegrade_request_seconds',
  Attainment = 'sardinegrade_attainment_ratio',
  Queued = 'sardinegrade_queued_requests',
  LimitedWorkers = 'sardinegrade_limited_workers',
  RefusedParts = 'sardinegrade_refused_prompt_parts',
  Generation = 'sardinegrade_configuration_generation',
  ConfigurationAge = 'sardinegrade_configuration_age_seconds',
  StoreAnswerAge = 'sardinegrade_store_answer_age_seconds',
  WorkerSpeed = 'sardinegrade_worker_speed_ratio',
  LinksLost = 'sardinegrade_links_lost',
  Tunnels = 'sardinegrade_tunnels_total',
  DutyHolder = 'sardinegrade_duty_holder',
  DutyCalls = 'sardinegrade_duty_calls_total',
  StoreEra = 'sardinegrade_store_era',
  Members = 'sardinegrade_members',
  Upstreams = 'sardinegrade_upstreams',
  UsageReports = 'sardinegrade_usage_reports_total',
  UsageReportAge = 'sardinegrade_usage_report_age_seconds',
  OrderedWorkers = 'sardinegrade_ordered_workers',
  WorkerOrders = 'sardinegrade_worker_orders_total',
  DemandEngines = 'sardinegrade_demand_engines',
  ClientLimits = 'sardinegrade_client_limits_total',
  WorkspaceLimits = 'sardinegrade_workspace_limits_total',
  DroppedLabels = 'sardinegrade_metric_labels_dropped_total',
}

/** Prometheus metric types. */
export enum MetricKind {
  Counter = 'counter',
  Gauge = 'gauge',
  Summary = 'summary',
}

/** Why tokens that an engine generated were wasted, that is, of no use to any caller. */
export enum WasteCause {
  /** The engine died or stopped responding, and the answer could not be resumed. */
  UpstreamLost = 'upstream_lost',
  /** The dispatcher cancelled the attempt in favour of a request of a higher tier. */
  Preempted = 'preempted',
  /** The caller disconnected. */
  CallerGone = 'caller_gone',
  /** The deadline passed before the answer was complete. */
  Deadline = 'deadline',
  /** The answer belonged to another attempt. */
  Crossed = 'crossed',
  /** The engine generated the tokens again after a resume. */
  Repeated = 'repeated',
}

/** How a request ended. */
export enum RequestOutcome {
  /** The caller received the complete answer. */
  Whole = 'whole',
  /** The request cannot be served as it was sent. */
  Invalid = 'invalid',
  /** Not executed by any upstream. */
  Refused = 'refused',
  /** Ended by any other failure, such as one of the upstream. */
  Failed = 'failed',
}
