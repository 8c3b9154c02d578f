/** Calls to the host platform that one VM makes for all. */
export enum DutyKind {
  /** Reports how many requests of each workspace began to run. */
  UsageReport = 'usage_report',
  /** Orders workers. */
  Autoscale = 'autoscale',
}

/** How a call to the host platform's API ended. */
export enum DutyOutcome {
  Accepted = 'accepted',
  /** No such workers are to be had there at present. */
  Unavailable = 'unavailable',
  /** All VMs together have made too many calls. */
  Limited = 'limited',
  /** Refused for another reason: it is not repeated unchanged. */
  Refused = 'refused',
  /** No answer: the call may have been executed. */
  Unanswered = 'unanswered',
  /** This VM has no permit, so nothing was sent. */
  NotPermitted = 'not_permitted',
}
