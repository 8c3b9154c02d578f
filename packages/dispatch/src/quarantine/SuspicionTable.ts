import { findNextSuspicion, SuspicionEvent, SuspicionState } from '../charts/index.js';

import type { Fingerprint, UpstreamId } from '@sardinegrade/common';

const SUSPECT_LIFETIME_MS = 600_000;
const QUARANTINE_MS = 600_000;

/** A suspect whose connection failed is not retried for this time, in which the loss of its engine may be reported. */
const RETRY_BLOCK_MS = 2_000;

/**
 * A fingerprint is quarantined after this many different engines crashed while they ran it. One crash is sufficient if
 * the request ran as a suspect's retry.
 */
const CRASHES_TO_QUARANTINE = 2;

interface Suspicion {
  state: SuspicionState;
  /** When the suspicion or quarantine expires. */
  untilMs: number;
  /** Engines that crashed while they ran the fingerprint. */
  readonly crashedEngines: Set<UpstreamId>;
  retryBlockedUntilMs: number;
}

/** Suspicion state of request fingerprints, for requests that may have crashed an engine. */
export class SuspicionTable {
  private readonly suspicions = new Map<Fingerprint, Suspicion>();
  /** Fingerprints cleared by a finished retry, with expiry times. Daemons may report them as suspects for a while. */
  private readonly clearedUntilMs = new Map<Fingerprint, number>();

  /** @returns the state of a fingerprint; clear if nothing is recorded */
  getState(fingerprint: Fingerprint): SuspicionState {
    return this.suspicions.get(fingerprint)?.state ?? SuspicionState.Clear;
  }

  /** @returns whether a suspect must wait until it is known whether its engine crashed */
  isBlocked(fingerprint: Fingerprint, nowMs: number): boolean {
    return (this.suspicions.get(fingerprint)?.retryBlockedUntilMs ?? nowMs) > nowMs;
  }

  /** Marks a fingerprint as a suspect because a daemon reported that its engine died. */
  suspect(fingerprint: Fingerprint, nowMs: number): void {
    if ((this.clearedUntilMs.get(fingerprint) ?? 0) > nowMs) return;
    this.apply(fingerprint, SuspicionEvent.Suspect, nowMs);
  }

  /** Records that the retry of a suspect has started. */
  startRetry(fingerprint: Fingerprint, nowMs: number): void {
    this.apply(fingerprint, SuspicionEvent.Retry, nowMs);
  }

  /** Clears a suspect whose retry has finished. */
  finishRetry(fingerprint: Fingerprint, nowMs: number): void {
    this.apply(fingerprint, SuspicionEvent.Finish, nowMs);
    if (!this.suspicions.has(fingerprint))
      this.clearedUntilMs.set(fingerprint, nowMs + SUSPECT_LIFETIME_MS);
  }

  /** Records that a retry ended without showing whether the request crashes engines. */
  releaseRetry(fingerprint: Fingerprint, nowMs: number): void {
    this.apply(fingerprint, SuspicionEvent.Withdraw, nowMs);
  }

  /** Blocks retries of a suspect for RETRY_BLOCK_MS, until the state of its engine is known. */
  setRetryBlock(fingerprint: Fingerprint, nowMs: number): void {
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion !== undefined) suspicion.retryBlockedUntilMs = nowMs + RETRY_BLOCK_MS;
  }

  /**
   * Records that an engine crashed while it ran a fingerprint.
   *
   * @param fingerprint - fingerprint of the request
   * @param upstream - the crashed engine
   * @param wasSuspect - whether the request ran as a suspect's retry
   * @param nowMs - current time, in milliseconds
   * @returns whether the fingerprint is quarantined because of this crash
   */
  recordCrash(
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    wasSuspect: boolean,
    nowMs: number,
  ): boolean {
    this.clearedUntilMs.delete(fingerprint);
    const before = this.getState(fingerprint);
    if (before === SuspicionState.Quarantined) return false;
    if (before === SuspicionState.Clear) this.apply(fingerprint, SuspicionEvent.Crash, nowMs);
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion === undefined) return false;
    suspicion.crashedEngines.add(upstream);
    if (!wasSuspect && suspicion.crashedEngines.size < CRASHES_TO_QUARANTINE) return false;
    this.apply(fingerprint, SuspicionEvent.Crash, nowMs);
    return true;
  }

  /** Quarantines a fingerprint; an existing quarantine is never shortened. */
  quarantine(fingerprint: Fingerprint, untilMs: number, nowMs: number): void {
    if (untilMs <= nowMs) return;
    const known = this.suspicions.get(fingerprint);
    const earlierUntilMs = known?.state === SuspicionState.Quarantined ? known.untilMs : 0;
    this.apply(fingerprint, SuspicionEvent.QuarantinedElsewhere, nowMs);
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion !== undefined) suspicion.untilMs = Math.max(earlierUntilMs, untilMs);
  }

  /** Removes expired suspicions, quarantines and clearances. */
  expire(nowMs: number): void {
    for (const [fingerprint, suspicion] of this.suspicions) {
      if (suspicion.untilMs <= nowMs) this.apply(fingerprint, SuspicionEvent.Expire, nowMs);
    }
    for (const [fingerprint, untilMs] of this.clearedUntilMs) {
      if (untilMs <= nowMs) this.clearedUntilMs.delete(fingerprint);
    }
  }

  /** @returns when the quarantine or suspicion of a fingerprint expires; undefined if there is none */
  getUntilMs(fingerprint: Fingerprint): number | undefined {
    return this.suspicions.get(fingerprint)?.untilMs;
  }

  private apply(fingerprint: Fingerprint, event: SuspicionEvent, nowMs: number): void {
    const known = this.suspicions.get(fingerprint);
    const next = findNextSuspicion(known?.state ?? SuspicionState.Clear, event);
    if (next === undefined) return;
    if (next === SuspicionState.Clear) {
      this.suspicions.delete(fingerprint);
      return;
    }
    const untilMs =
      nowMs + (next === SuspicionState.Quarantined ? QUARANTINE_MS : SUSPECT_LIFETIME_MS);
    const suspicion = known ?? {
      state: next,
      untilMs,
      crashedEngines: new Set<UpstreamId>(),
      retryBlockedUntilMs: 0,
    };
    suspicion.state = next;
    suspicion.untilMs = untilMs;
    this.suspicions.set(fingerprint, suspicion);
  }
}
