import type { Fingerprint, UpstreamId } from '@sardinegrade/common';

/** Number of worker instances that must have crashed while running a request before all VMs refuse it. */
const CRASHES_TO_QUARANTINE = 2;

/**
 * Maximum time between an interrupted request and the end of its worker's process for the end to count as a crash
 * caused by the request, in milliseconds. The end is detected when the registration lapses, after three missed
 * heartbeats of about a second, or when the worker registers again.
 */
const CRASH_WINDOW_MS = 8_000;

/** Duration of a quarantine, in milliseconds: callers repeat such a request for minutes. */
const QUARANTINE_MS = 600_000;

/** Maximum number of tracked fingerprints; the oldest are removed first. */
const MAX_FINGERPRINTS = 2_048;

/** Maximum number of interrupted sends of one worker instance; the oldest are removed first. */
const MAX_BROKEN_SENDS = 1_024;

/** A send that was interrupted without an answer. */
interface BrokenSend {
  readonly fingerprint: Fingerprint;
  readonly atMs: number;
}

/** Crashes that happened while one request was running. */
interface CrashRecord {
  /** Ids of the crashed worker instances. */
  readonly instances: Set<UpstreamId>;
  readonly expiresAtMs: number;
}

/** A request and a worker instance that crashed while running it; reported to the other VMs. */
export interface Crash {
  readonly fingerprint: Fingerprint;
  /** Id of the worker instance. */
  readonly upstream: UpstreamId;
}

/**
 * Tracks which requests were running on workers when they crashed.
 *
 * Load pattern: one request crashes each worker that starts to run it, and its caller repeats it through any VM. All
 * requests that ran on a crashed worker are suspects; a request that ran during two crashes is quarantined.
 */
export class CrashTracker {
  readonly #brokenSends = new Map<UpstreamId, BrokenSend[]>();
  readonly #crashes = new Map<Fingerprint, CrashRecord>();

  /** Records that a send to a worker instance was interrupted without an answer. */
  recordBrokenSend(fingerprint: Fingerprint, instance: UpstreamId, nowMs: number): void {
    const recent = (this.#brokenSends.get(instance) ?? []).filter(
      ({ atMs }) => nowMs - atMs <= CRASH_WINDOW_MS,
    );
    const kept = recent.slice(-MAX_BROKEN_SENDS + 1);
    this.#brokenSends.set(instance, [...kept, { fingerprint, atMs: nowMs }]);
  }

  /**
   * Records that a worker's process has ended or was restarted. Requests that were interrupted on it shortly before
   * become suspects.
   *
   * @param instance - id of the worker instance
   * @param nowMs - current time, in milliseconds
   * @returns the new crashes, to be reported to other VMs
   */
  recordInstanceEnd(instance: UpstreamId, nowMs: number): readonly Crash[] {
    const brokenSends = this.#brokenSends.get(instance) ?? [];
    this.#brokenSends.delete(instance);
    return brokenSends
      .filter(({ atMs }) => nowMs - atMs <= CRASH_WINDOW_MS)
      .map(({ fingerprint }): Crash => ({ fingerprint, upstream: instance }))
      .filter((crash) => this.addCrash(crash, nowMs));
  }

  /**
   * Adds a crash that was detected by this VM or reported by another one.
   *
   * @param crash - request and worker instance
   * @param nowMs - current time, in milliseconds
   * @returns whether the crash was not known before
   */
  addCrash({ fingerprint, upstream: instance }: Crash, nowMs: number): boolean {
    const known = this.#crashes.get(fingerprint);
    if (known?.instances.has(instance) === true) return false;
    this.#crashes.delete(fingerprint);
    const instances = new Set([...(known?.instances ?? []), instance]);
    this.#crashes.set(fingerprint, { instances, expiresAtMs: nowMs + QUARANTINE_MS });
    if (this.#crashes.size > MAX_FINGERPRINTS) {
      const oldest = this.#crashes.keys().next().value;
      if (oldest !== undefined) this.#crashes.delete(oldest);
    }
    return true;
  }

  /** @returns whether a request is quarantined, that is, refused */
  isQuarantined(fingerprint: Fingerprint, nowMs: number): boolean {
    const record = this.#crashes.get(fingerprint);
    if (record === undefined || record.expiresAtMs <= nowMs) return false;
    return record.instances.size >= CRASHES_TO_QUARANTINE;
  }
}
