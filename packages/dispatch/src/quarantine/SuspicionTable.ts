import { findNextSuspicion, SuspicionEvent, SuspicionState } from '../charts/index.js';

import type { Fingerprint, UpstreamId } from '@sardinegrade/common';

const SUSPECT_LIFETIME_MS = 600_000;
const QUARANTINE_MS = 600_000;

/** After its connection died, a suspect waits so long for news of the engine before it is retried. */
const CONFIRMATION_MS = 2_000;

/** Different engines that must have died under a fingerprint before it is named the culprit. */
const CRASHES_TO_CONVICT = 2;

interface Suspicion {
  state: SuspicionState;
  untilMs: number;
  /** Engines that died while they ran it. */
  readonly crashed: Set<UpstreamId>;
  heldUntilMs: number;
}

/** What is held against each fingerprint. */
export class SuspicionTable {
  private readonly suspicions = new Map<Fingerprint, Suspicion>();
  /** Fingerprints that a whole answer cleared: daemons may call them suspects for some time yet. */
  private readonly cleared = new Map<Fingerprint, number>();

  /** @returns the state of a fingerprint */
  getState(fingerprint: Fingerprint): SuspicionState {
    return this.suspicions.get(fingerprint)?.state ?? SuspicionState.Clear;
  }

  /** @returns whether a suspect must wait for news of the engine that it may have killed */
  isHeld(fingerprint: Fingerprint, nowMs: number): boolean {
    return (this.suspicions.get(fingerprint)?.heldUntilMs ?? nowMs) > nowMs;
  }

  /** Marks a fingerprint whose daemon says that it ran on an engine that died. */
  suspect(fingerprint: Fingerprint, nowMs: number): void {
    if ((this.cleared.get(fingerprint) ?? 0) > nowMs) return;
    this.apply(fingerprint, SuspicionEvent.Suspect, nowMs);
  }

  /** Records that a suspect's retry began. */
  startRetry(fingerprint: Fingerprint, nowMs: number): void {
    this.apply(fingerprint, SuspicionEvent.Retry, nowMs);
  }

  /** Clears a suspect whose retry ran to its end. */
  finishRetry(fingerprint: Fingerprint, nowMs: number): void {
    this.apply(fingerprint, SuspicionEvent.Finish, nowMs);
    if (!this.suspicions.has(fingerprint))
      this.cleared.set(fingerprint, nowMs + SUSPECT_LIFETIME_MS);
  }

  /** Records that a retry ended without a verdict. */
  releaseRetry(fingerprint: Fingerprint, nowMs: number): void {
    this.apply(fingerprint, SuspicionEvent.Withdraw, nowMs);
  }

  /** Holds a fingerprint back until the state of the engine that it ran on is known. */
  keepBack(fingerprint: Fingerprint, nowMs: number): void {
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion !== undefined) suspicion.heldUntilMs = nowMs + CONFIRMATION_MS;
  }

  /**
   * Records that an engine died while it ran a fingerprint.
   *
   * @param fingerprint - what ran
   * @param upstream - the engine
   * @param wasSuspect - whether it ran as a suspect's retry
   * @param nowMs - the present
   * @returns whether this names the fingerprint as the culprit
   */
  recordCrash(
    fingerprint: Fingerprint,
    upstream: UpstreamId,
    wasSuspect: boolean,
    nowMs: number,
  ): boolean {
    this.cleared.delete(fingerprint);
    const before = this.getState(fingerprint);
    if (before === SuspicionState.Quarantined) return false;
    if (before === SuspicionState.Clear) this.apply(fingerprint, SuspicionEvent.Crash, nowMs);
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion === undefined) return false;
    suspicion.crashed.add(upstream);
    if (!wasSuspect && suspicion.crashed.size < CRASHES_TO_CONVICT) return false;
    this.apply(fingerprint, SuspicionEvent.Crash, nowMs);
    return true;
  }

  /** Takes over a quarantine that another dispatcher or this one has pronounced. */
  quarantine(fingerprint: Fingerprint, untilMs: number, nowMs: number): void {
    if (untilMs <= nowMs) return;
    const known = this.suspicions.get(fingerprint);
    const earlier = known?.state === SuspicionState.Quarantined ? known.untilMs : 0;
    this.apply(fingerprint, SuspicionEvent.Convict, nowMs);
    const suspicion = this.suspicions.get(fingerprint);
    if (suspicion !== undefined) suspicion.untilMs = Math.max(earlier, untilMs);
  }

  /** Drops what has expired. */
  expire(nowMs: number): void {
    for (const [fingerprint, suspicion] of this.suspicions) {
      if (suspicion.untilMs <= nowMs) this.apply(fingerprint, SuspicionEvent.Expire, nowMs);
    }
    for (const [fingerprint, untilMs] of this.cleared) {
      if (untilMs <= nowMs) this.cleared.delete(fingerprint);
    }
  }

  /** @returns when a fingerprint's quarantine or suspicion ends */
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
      crashed: new Set<UpstreamId>(),
      heldUntilMs: 0,
    };
    suspicion.state = next;
    suspicion.untilMs = untilMs;
    this.suspicions.set(fingerprint, suspicion);
  }
}
