/** Why a permit is refused. */
export enum PermitRefusal {
  /** This VM does not hold the lease, or not for long enough. */
  NotHeld = 'not_held',
  /** This VM may have been suspended since its last confirmed renewal was sent. */
  Suspended = 'suspended',
  /** This VM is about to release the lease. */
  Leaving = 'leaving',
}
