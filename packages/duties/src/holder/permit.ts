import { PermitRefusal } from './enums.js';

/** What decides whether a call may be made now. */
export interface PermitInputs {
  /** Fencing number if the lease lasts for the call's deadline and the margin; undefined otherwise. */
  readonly fence: number | undefined;
  /** Monotonic time at which the last confirmed renewal was sent, in milliseconds; undefined if the lease is not held. */
  readonly confirmedAtMs: number | undefined;
  /** Monotonic time of the last check that suspected a suspension, in milliseconds; undefined if none has. */
  readonly suspectedAtMs: number | undefined;
  /** Whether this VM is about to release the lease. */
  readonly isLeaving: boolean;
}

/**
 * Finds why no call may be made now.
 *
 * @param inputs - state of the lease and of the clocks, read right before the call
 * @returns the reason; undefined if a call may be made
 */
export const findPermitRefusal = ({
  fence,
  confirmedAtMs,
  suspectedAtMs,
  isLeaving,
}: PermitInputs): PermitRefusal | undefined => {
  if (isLeaving) return PermitRefusal.Leaving;
  if (confirmedAtMs === undefined) return PermitRefusal.NotHeld;
  // A renewal sent before the check may have been confirmed before the suspension that the check found.
  const isConfirmed = suspectedAtMs === undefined || confirmedAtMs > suspectedAtMs;
  if (!isConfirmed) return PermitRefusal.Suspended;
  return fence === undefined ? PermitRefusal.NotHeld : undefined;
};
