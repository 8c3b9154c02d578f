/** Kinds of events that a dispatcher handles. */
export enum DispatchEventKind {
  /** A daemon requests a grant. */
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

/** Kinds of actions that a dispatcher returns. */
export enum DispatchActionKind {
  Grant = 'grant',
  Refuse = 'refuse',
  Preempt = 'preempt',
  ProbeUpstream = 'probe_upstream',
  Quarantine = 'quarantine',
}

/** What happens to a running or paused request when a dispatcher preempts it or resumes it. */
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

/** Implementations of the dispatcher interface. */
export enum DispatchPolicy {
  /** The default policy, with tiers, guaranteed shares and preemption. */
  Tiered = 'tiered',
  /** First come, first served with round robin, as the baseline of comparisons. */
  Naive = 'naive',
}
