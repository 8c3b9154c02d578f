import assert from 'node:assert/strict';

import { PAYING_TIERS, ResultCode, TIER_RANK } from '@sardinegrade/common';

import { DispatchActionKind, DispatchEventKind, PreemptionMode, ReleaseReason } from '../enums.js';

import type {
  ClassConfiguration,
  Configuration,
  Fingerprint,
  UpstreamId,
} from '@sardinegrade/common';
import type {
  DispatchAction,
  DispatchEvent,
  Dispatcher,
  GrantRequest,
  GrantRelease,
} from '../types.js';

/** A request that runs or is paused on an engine, according to the observed actions. */
interface GrantedRequest {
  readonly ask: GrantRequest;
  readonly upstream: UpstreamId;
  isPaused: boolean;
  isSuspect: boolean;
  /** Whether it was registered after a fail-over; it may then exceed the engine's slots. */
  readonly wasReregistered: boolean;
}

const CAPACITY_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.Overloaded,
  ResultCode.QueueFull,
  ResultCode.DeadlineBeforeStart,
]);

const OVERDUE_LIMIT_MS = 30_000;

const AVAILABLE_HEALTH: ReadonlySet<string> = new Set(['healthy', 'reduced']);

/** Checks the invariants of dispatching on all events and actions between daemons and a dispatcher. */
export class InvariantObserver {
  private configuration: Configuration | undefined;
  private members: ReadonlySet<UpstreamId> = new Set();
  private readonly seenAskIds = new Set<string>();
  private readonly asks = new Map<string, GrantRequest>();
  private readonly answers = new Map<string, DispatchAction>();
  private readonly grantedRequests = new Map<string, GrantedRequest>();
  private readonly leavingEngines = new Set<UpstreamId>();
  private readonly lostEngines = new Set<UpstreamId>();
  /** Requests whose engine or connection failed: they may have to wait for an engine without other suspects. */
  private readonly suspects = new Set<Fingerprint>();
  /** Suspects that were cleared because they finished. */
  private readonly cleared = new Set<Fingerprint>();

  constructor(private readonly dispatcher: Dispatcher) {}

  /** Checks an event and the actions that the dispatcher returned for it. */
  readonly observe = (
    event: DispatchEvent,
    actions: readonly DispatchAction[],
    nowMs: number,
  ): void => {
    this.removeOverdue(nowMs);
    this.applyEvent(event);
    for (const action of actions) this.checkAction(action, event, nowMs);
    this.checkSlots();
  };

  /** Checks that every ask has been answered. */
  checkAllAnswered(): void {
    for (const askId of this.asks.keys())
      assert.ok(this.answers.has(askId), `${askId} was not answered`);
  }

  private applyEvent(event: DispatchEvent): void {
    switch (event.kind) {
      case DispatchEventKind.Ask:
        this.addAsk(event.ask);
        return;
      case DispatchEventKind.Withdraw:
        this.asks.delete(event.askId);
        this.grantedRequests.delete(event.askId);
        return;
      case DispatchEventKind.Release:
        this.removeReleased(event.release);
        return;
      case DispatchEventKind.LoadReport:
        if (event.report.isLeaving) this.leavingEngines.add(event.report.upstream);
        return;
      case DispatchEventKind.UpstreamLeaving:
        this.leavingEngines.add(event.upstream);
        return;
      case DispatchEventKind.UpstreamLost:
        this.removeEngine(event.upstream);
        return;
      case DispatchEventKind.UpstreamProbed:
        if (event.isHealthy) this.lostEngines.delete(event.upstream);
        return;
      case DispatchEventKind.Configured:
        this.configuration = event.configuration;
        this.members = new Set(event.upstreams);
        return;
      case DispatchEventKind.VmLost:
        this.removeVm(event.vm);
        return;
      case DispatchEventKind.Progress:
      case DispatchEventKind.CacheEvent:
      case DispatchEventKind.Quarantined:
      case DispatchEventKind.Tick:
        return;
    }
  }

  private addAsk(ask: GrantRequest): void {
    if (ask.isSuspect) this.suspects.add(ask.fingerprint);
    if (this.seenAskIds.has(ask.askId)) return;
    this.seenAskIds.add(ask.askId);
    if (ask.heldUpstream === undefined) {
      this.asks.set(ask.askId, ask);
      return;
    }
    this.grantedRequests.set(ask.askId, {
      ask,
      upstream: ask.heldUpstream,
      isPaused: false,
      isSuspect: false,
      wasReregistered: true,
    });
  }

  private removeReleased(release: GrantRelease): void {
    const grantedRequest = this.grantedRequests.get(release.askId);
    this.grantedRequests.delete(release.askId);
    if (grantedRequest === undefined) return;
    const { fingerprint } = grantedRequest.ask;
    if (release.reason === ReleaseReason.UpstreamDied) this.suspects.add(fingerprint);
    if (grantedRequest.isSuspect && release.reason === ReleaseReason.Finished)
      this.cleared.add(fingerprint);
    if (release.reason === ReleaseReason.UpstreamDied) this.cleared.delete(fingerprint);
  }

  /** Removes grants that the dispatcher may remove, too: those whose end is not reported long after their deadline. */
  private removeOverdue(nowMs: number): void {
    for (const [askId, grantedRequest] of this.grantedRequests)
      if (nowMs > grantedRequest.ask.deadlineAtMs + OVERDUE_LIMIT_MS)
        this.grantedRequests.delete(askId);
  }

  private removeEngine(upstream: UpstreamId): void {
    this.lostEngines.add(upstream);
    for (const [askId, grantedRequest] of this.grantedRequests) {
      if (grantedRequest.upstream !== upstream) continue;
      this.suspects.add(grantedRequest.ask.fingerprint);
      this.cleared.delete(grantedRequest.ask.fingerprint);
      this.grantedRequests.delete(askId);
    }
  }

  private removeVm(vm: string): void {
    for (const [askId, ask] of this.asks) if (ask.vm === vm) this.asks.delete(askId);
    for (const [askId, grantedRequest] of this.grantedRequests)
      if (grantedRequest.ask.vm === vm) this.grantedRequests.delete(askId);
  }

  private checkAction(action: DispatchAction, event: DispatchEvent, nowMs: number): void {
    switch (action.kind) {
      case DispatchActionKind.Grant:
        this.checkGrant(action, event);
        return;
      case DispatchActionKind.Refuse:
        this.checkRefusal(action, event, nowMs);
        return;
      case DispatchActionKind.Preempt:
        this.checkPreemption(action.askId, action.mode);
        return;
      case DispatchActionKind.ProbeUpstream:
      case DispatchActionKind.Quarantine:
        return;
    }
  }

  private isRepeated(action: DispatchAction & { askId: string }, event: DispatchEvent): boolean {
    const earlierAnswer = this.answers.get(action.askId);
    if (earlierAnswer === undefined) return false;
    assert.deepEqual(action, earlierAnswer, 'a repeated ask was answered differently');
    assert.ok(event.kind === DispatchEventKind.Ask && event.ask.askId === action.askId);
    return true;
  }

  private checkGrant(
    action: Extract<DispatchAction, { kind: DispatchActionKind.Grant }>,
    event: DispatchEvent,
  ): void {
    if (this.isRepeated(action, event)) return;
    const ask = this.asks.get(action.askId);
    assert.ok(ask !== undefined, `${action.askId} was granted without an open ask`);
    this.answers.set(action.askId, action);
    this.checkMayReceiveRequests(action.upstream);
    assert.ok(!ask.excludedUpstreams.includes(action.upstream), 'granted an excluded engine');
    const isSuspect = ask.isSuspect && !this.cleared.has(ask.fingerprint);
    if (isSuspect) this.checkSuspect(ask, action.upstream);
    this.grantedRequests.set(action.askId, {
      ask,
      upstream: action.upstream,
      isPaused: false,
      isSuspect,
      wasReregistered: false,
    });
  }

  private checkMayReceiveRequests(upstream: UpstreamId): void {
    assert.ok(this.members.has(upstream), `${upstream} does not belong to the shard`);
    assert.ok(!this.leavingEngines.has(upstream), `${upstream} is leaving`);
    assert.ok(!this.lostEngines.has(upstream), `${upstream} is lost`);
    assert.ok(!this.isDraining(upstream), `${upstream} is draining`);
  }

  private isDraining(upstream: UpstreamId): boolean {
    return this.configuration?.upstreams.get(upstream)?.draining === true;
  }

  private checkSuspect(ask: GrantRequest, upstream: UpstreamId): void {
    for (const grantedRequest of this.grantedRequests.values()) {
      const isOtherSuspect = grantedRequest.isSuspect && grantedRequest.upstream === upstream;
      assert.ok(!isOtherSuspect, `two suspects on ${upstream}`);
      const isSameRequest =
        grantedRequest.isSuspect && grantedRequest.ask.fingerprint === ask.fingerprint;
      assert.ok(!isSameRequest, 'a suspect runs twice at the same time');
    }
  }

  private checkRefusal(
    action: Extract<DispatchAction, { kind: DispatchActionKind.Refuse }>,
    event: DispatchEvent,
    nowMs: number,
  ): void {
    if (this.isRepeated(action, event)) return;
    const ask = this.asks.get(action.askId);
    assert.ok(ask !== undefined, `${action.askId} was refused without an open ask`);
    assert.ok(!this.grantedRequests.has(action.askId), 'refused as not run while it is granted');
    this.answers.set(action.askId, action);
    const definition = this.findClass(ask);
    if (definition === undefined || !PAYING_TIERS.has(definition.tier)) return;
    const couldStart = ask.deadlineAtMs > nowMs && !this.suspects.has(ask.fingerprint);
    if (!CAPACITY_CODES.has(action.code) || !couldStart) return;
    const grantedRequest = this.findLowerTierGranted(ask, definition);
    assert.ok(
      grantedRequest === undefined,
      `paying ${ask.askId} refused (${action.code}) while ${grantedRequest?.ask.askId ?? ''} runs`,
    );
  }

  private findClass(ask: GrantRequest): ClassConfiguration | undefined {
    return this.configuration?.services.get(ask.service)?.classes.get(ask.className);
  }

  private findLowerTierGranted(
    ask: GrantRequest,
    definition: ClassConfiguration,
  ): GrantedRequest | undefined {
    for (const grantedRequest of this.grantedRequests.values()) {
      const other = this.findClass(grantedRequest.ask);
      if (grantedRequest.isPaused || other === undefined) continue;
      if (TIER_RANK[other.tier] <= TIER_RANK[definition.tier]) continue;
      if (ask.excludedUpstreams.includes(grantedRequest.upstream)) continue;
      if (this.isAvailable(grantedRequest.upstream)) return grantedRequest;
    }
    return undefined;
  }

  private isAvailable(upstream: UpstreamId): boolean {
    if (!this.members.has(upstream) || this.isDraining(upstream)) return false;
    const known = this.dispatcher.describe().upstreams.find((other) => other.upstream === upstream);
    return known !== undefined && AVAILABLE_HEALTH.has(known.health);
  }

  private checkPreemption(askId: string, mode: PreemptionMode): void {
    const grantedRequest = this.grantedRequests.get(askId);
    assert.ok(grantedRequest !== undefined, `${askId} has no grant, but the action is ${mode}`);
    if (mode === PreemptionMode.Resume) {
      this.checkMayReceiveRequests(grantedRequest.upstream);
      grantedRequest.isPaused = false;
      return;
    }
    const definition = this.findClass(grantedRequest.ask);
    const isPaying = definition !== undefined && PAYING_TIERS.has(definition.tier);
    const isRunning = !grantedRequest.isPaused;
    if (mode === PreemptionMode.Cancel) this.grantedRequests.delete(askId);
    grantedRequest.isPaused = true;
    // A quarantined request is removed from its engine regardless of its tier.
    if (!isPaying || !isRunning || this.suspects.has(grantedRequest.ask.fingerprint)) return;
    const lowerTierRequest = this.findLowerTierGranted(
      { ...grantedRequest.ask, excludedUpstreams: [] },
      definition,
    );
    assert.ok(
      lowerTierRequest === undefined,
      `paying ${askId} preempted while ${lowerTierRequest?.ask.askId ?? ''} runs`,
    );
  }

  private checkSlots(): void {
    const counts = new Map<UpstreamId, number>();
    for (const grantedRequest of this.grantedRequests.values()) {
      if (grantedRequest.isPaused || grantedRequest.wasReregistered) continue;
      counts.set(grantedRequest.upstream, (counts.get(grantedRequest.upstream) ?? 0) + 1);
    }
    for (const [upstream, count] of counts) {
      const slots = this.configuration?.upstreams.get(upstream)?.slots ?? Infinity;
      assert.ok(count <= slots, `${count} requests run on the ${slots} slots of ${upstream}`);
    }
  }
}
