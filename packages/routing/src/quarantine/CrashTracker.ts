import type { Fingerprint, UpstreamId } from '@sardinegrade/common';

/** Different workers that must have crashed under a request before it is refused everywhere. */
const CRASHES_TO_QUARANTINE = 2;

/**
 * A worker whose life is known to be over this long after a request broke off on it has crashed under it, in
 * milliseconds: its registration lapses after three heartbeats of about a second, or it registers anew.
 */
const CRASH_WINDOW_MS = 8_000;

/** How long a request is refused, in milliseconds: its caller sends it again for minutes. */
const QUARANTINE_MS = 600_000;

/** Fingerprints that are remembered at most; the oldest go first. */
const MAX_FINGERPRINTS = 2_048;

interface BrokenSend {
  readonly fingerprint: Fingerprint;
  readonly atMs: number;
}

interface CrashRecord {
  readonly upstreams: Set<UpstreamId>;
  readonly expiresAtMs: number;
}

/** A crash that other VMs have to hear of. */
export interface Crash {
  readonly fingerprint: Fingerprint;
  readonly upstream: UpstreamId;
}

/**
 * Remembers which requests were running on workers when they crashed.
 *
 * Load pattern: one request crashes each worker that begins to run it, and its caller sends it again, through any
 * VM. All that ran on a worker are suspects of its crash; the one that was there at two crashes is refused.
 */
export class CrashTracker {
  readonly #brokenSends = new Map<UpstreamId, BrokenSend[]>();
  readonly #crashes = new Map<Fingerprint, CrashRecord>();

  /** Records that a send broke off without an answer. */
  recordBrokenSend(fingerprint: Fingerprint, upstream: UpstreamId, nowMs: number): void {
    const recent = (this.#brokenSends.get(upstream) ?? []).filter(
      ({ atMs }) => nowMs - atMs <= CRASH_WINDOW_MS,
    );
    this.#brokenSends.set(upstream, [...recent, { fingerprint, atMs: nowMs }]);
  }

  /**
   * Records that a worker is dead or was started anew: what broke off on it shortly before is suspect.
   *
   * @param upstream - the worker
   * @param nowMs - the present
   * @returns the crashes to tell other VMs
   */
  recordInstanceEnd(upstream: UpstreamId, nowMs: number): readonly Crash[] {
    const brokenSends = this.#brokenSends.get(upstream) ?? [];
    this.#brokenSends.delete(upstream);
    return brokenSends
      .filter(({ atMs }) => nowMs - atMs <= CRASH_WINDOW_MS)
      .map(({ fingerprint }): Crash => ({ fingerprint, upstream }))
      .filter((crash) => this.addCrash(crash, nowMs));
  }

  /**
   * Takes over a crash, seen here or told by another VM.
   *
   * @param crash - request and worker
   * @param nowMs - the present
   * @returns whether it was news
   */
  addCrash({ fingerprint, upstream }: Crash, nowMs: number): boolean {
    const known = this.#crashes.get(fingerprint);
    if (known?.upstreams.has(upstream) === true) return false;
    this.#crashes.delete(fingerprint);
    const upstreams = new Set([...(known?.upstreams ?? []), upstream]);
    this.#crashes.set(fingerprint, { upstreams, expiresAtMs: nowMs + QUARANTINE_MS });
    if (this.#crashes.size > MAX_FINGERPRINTS) {
      const oldest = this.#crashes.keys().next().value;
      if (oldest !== undefined) this.#crashes.delete(oldest);
    }
    return true;
  }

  /** @returns whether a request is refused */
  isQuarantined(fingerprint: Fingerprint, nowMs: number): boolean {
    const record = this.#crashes.get(fingerprint);
    if (record === undefined || record.expiresAtMs <= nowMs) return false;
    return record.upstreams.size >= CRASHES_TO_QUARANTINE;
  }
}
