/** What a dispatcher is told. */
export enum DispatchEventKind {
  Ask = 'ask',
  Withdraw = 'withdraw',
  Progress = 'progress',
  Release = 'release',
  LoadReport = 'load_report',
  CacheEvent = 'cache_event',
  UpstreamLeaving = 'upstream_leaving',
  UpstreamLost = 'upstream_lost',
  UpstreamProbed = 'upstream_probed',
  Quarantined = 'quarantined',
  Configured = 'configured',
  VmLost = 'vm_lost',
  Tick = 'tick',
}

/** What a dispatcher wants done. */
export enum DispatchActionKind {
  Grant = 'grant',
  Refuse = 'refuse',
  Preempt = 'preempt',
  ProbeUpstream = 'probe_upstream',
  Quarantine = 'quarantine',
}

/** How a running request makes room. */
export enum PreemptionMode {
  Pause = 'pause',
  Resume = 'resume',
  Cancel = 'cancel',
}

/** Why a grant ended. */
export enum ReleaseReason {
  Finished = 'finished',
  CallerGone = 'caller_gone',
  UpstreamRefused = 'upstream_refused',
  UpstreamDied = 'upstream_died',
  UpstreamSilent = 'upstream_silent',
  Preempted = 'preempted',
}

/** The policies that can stand behind the dispatcher's interface. */
export enum DispatchPolicy {
  /** The product's policy. */
  Tiered = 'tiered',
  /** First come first served, round robin: the baseline of comparisons. */
  Naive = 'naive',
}
