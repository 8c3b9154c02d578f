import { MAX_DRIFT_MS } from '../constants.js';

/** Difference up to which two offsets count as the same one, in milliseconds. */
const MAX_EQUAL_OFFSET_MS = 1;

/** Difference of wall clock and monotonic clock at one check. */
interface ClockOffset {
  readonly atMs: number;
  readonly offsetMs: number;
}

/** What the checks of the clocks have shown. */
export interface SuspensionState {
  /** Checks of the last `windowMs`, oldest first; equal ones only once, and only those since the last suspicion. */
  readonly offsets: readonly ClockOffset[];
  /** Monotonic time of the last check that suspected a suspension, in milliseconds. */
  readonly suspectedAtMs: number | undefined;
}

/** Readings of both clocks at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** State before the first check. */
export const NO_SUSPENSION: SuspensionState = { offsets: [], suspectedAtMs: undefined };

/**
 * Merges equal offsets, so that their number stays small. The older offset is kept: clocks that drift slowly would
 * otherwise be compared only with their last check.
 */
const mergeNewest = (
  newest: ClockOffset | undefined,
  current: ClockOffset,
): readonly ClockOffset[] => {
  if (newest === undefined) return [current];
  const isSame = Math.abs(newest.offsetMs - current.offsetMs) < MAX_EQUAL_OFFSET_MS;
  return isSame ? [{ ...newest, atMs: current.atMs }] : [newest, current];
};

/**
 * Compares the clocks. The monotonic clock does not count the time during which a VM is suspended, and the wall clock does.
 * All checks of the window are compared, not only the last: suspensions that are short each may add up.
 *
 * @param state - result of the previous check
 * @param reading - both clocks now
 * @param windowMs - validity of a confirmed renewal; older checks do not count
 * @returns the state with a suspected suspension if the clocks have drifted apart
 */
export const checkClocks = (
  state: SuspensionState,
  { monotonicMs, wallMs }: ClockReading,
  windowMs: number,
): SuspensionState => {
  const current = { atMs: monotonicMs, offsetMs: wallMs - monotonicMs };
  const hasDrifted = state.offsets.some(
    ({ offsetMs }) => Math.abs(offsetMs - current.offsetMs) > MAX_DRIFT_MS,
  );
  if (hasDrifted) return { offsets: [current], suspectedAtMs: monotonicMs };
  const newest = state.offsets.at(-1);
  const recent = state.offsets.filter(
    (offset) => offset !== newest && monotonicMs - offset.atMs <= windowMs,
  );
  return { ...state, offsets: [...recent, ...mergeNewest(newest, current)] };
};
