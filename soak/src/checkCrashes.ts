import type { Violation } from './SoakLedger.js';

/** The end of a worker that was about to answer a request with a prompt part that crashes workers. */
export interface CrashRecord {
  readonly part: string;
  /** Time of the crash, in milliseconds of the monotonic clock. */
  readonly atMs: number;
  /** Whether any VM was in touch then. */
  readonly isVmInTouch: boolean;
}

/** What the rule has counted for one prompt part. */
interface PartCount {
  readonly part: string;
  /** Number of workers that it crashed. */
  readonly crashes: number;
  /** Crashes after the part was known. */
  readonly late: number;
  /** Further crashes after it was known, at which no VM was in touch. */
  readonly excused: number;
}

/** Number of crashes of a prompt part from which the rule counts, and of requests that may still reach workers. */
const CRASHES_BEFORE_RULE = 5;
const MAX_SENDS_AFTER_CRASHES = 3;

/**
 * Stable window, in milliseconds: a VM that started less than this ago is not in touch, and a part counts as known for
 * this time after the last of the crashes before.
 */
const STABLE_MS = 3_000;

/**
 * Whether a VM is in touch, as far as starts of its process decide it. What one such VM knows of a part, it can tell the
 * others.
 *
 * @param vms - id of the process of each VM, undefined if it is not running, and when it was started, in milliseconds
 * @param nowMs - current time, in milliseconds of the same clock
 * @returns false if each running process has started within the stable window; true if none is running, since requests
 *   that still arrive come from earlier processes
 */
export const hasVmInTouch = (
  vms: readonly { readonly pid: number | undefined; readonly startedAtMs: number }[],
  nowMs = performance.now(),
): boolean => {
  const running = vms.filter(({ pid }) => pid !== undefined);
  return running.length === 0 || running.some(({ startedAtMs }) => nowMs - startedAtMs > STABLE_MS);
};

const countCrashes = (crashes: readonly CrashRecord[]): readonly PartCount[] => {
  const parts = [...new Set(crashes.map(({ part }) => part))];
  return parts.map((part) => {
    const ofPart = crashes.filter((crash) => crash.part === part);
    const knownAtMs = (ofPart[CRASHES_BEFORE_RULE - 1]?.atMs ?? Infinity) + STABLE_MS;
    const after = ofPart.filter(({ atMs }) => atMs > knownAtMs);
    const late = after.filter(({ isVmInTouch }) => isVmInTouch).length;
    return { part, crashes: ofPart.length, late, excused: after.length - late };
  });
};

const describeCount = ({ part, crashes, late, excused }: PartCount): string =>
  `${part} crashed ${crashes} workers, ${late} of them after it was known (${excused} more while no VM was in touch)`;

/**
 * Describes how many workers each prompt part crashed.
 *
 * @param crashes - the crashes, in the order in which they happened
 * @returns one line for each part
 */
export const describeCrashes = (crashes: readonly CrashRecord[]): readonly string[] =>
  countCrashes(crashes).map(describeCount);

/**
 * Checks that a part which has crashed several workers does not go on reaching workers. Crashes at which no VM is in touch
 * are not counted against the VMs: the users' rule counts what VMs in touch send.
 *
 * @param crashes - the crashes, in the order in which they happened
 * @returns one violation for each part
 */
export const checkCrashes = (crashes: readonly CrashRecord[]): readonly Violation[] =>
  countCrashes(crashes)
    .filter(({ late }) => late > MAX_SENDS_AFTER_CRASHES)
    .map((count) => ({
      rule: 'parts that crash workers',
      requestId: '-',
      detail: describeCount(count),
    }));
