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
  GrantAsk,
  GrantRelease,
} from '../types.js';

interface Holder {
  readonly ask: GrantAsk;
  readonly upstream: UpstreamId;
  isPaused: boolean;
  isSuspect: boolean;
  /** Registered after a fail-over; it may exceed the engine's slots. */
  readonly wasHeld: boolean;
}

const CAPACITY_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.Overloaded,
  ResultCode.QueueFull,
  ResultCode.DeadlineBeforeStart,
]);

const OVERDUE_LIMIT_MS = 30_000;

const USABLE_HEALTH: ReadonlySet<string> = new Set(['healthy', 'reduced']);

/** Checks the brief's invariants on all that passes between daemons and a dispatcher. */
export class InvariantObserver {
  private configuration: Configuration | undefined;
  private members: ReadonlySet<UpstreamId> = new Set();
  private readonly seen = new Set<string>();
  private readonly asks = new Map<string, GrantAsk>();
  private readonly outcomes = new Map<string, DispatchAction>();
  private readonly holders = new Map<string, Holder>();
  private readonly leaving = new Set<UpstreamId>();
  private readonly lost = new Set<UpstreamId>();
  /** Requests that ran on an engine or connection that died: they may have to wait for an engine of their own. */
  private readonly suspects = new Set<Fingerprint>();
  /** Suspects that a whole answer has cleared. */
  private readonly cleared = new Set<Fingerprint>();

  constructor(private readonly dispatcher: Dispatcher) {}

  /** Takes one event and its actions into account. */
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

  /** Checks that every ask has got its answer. */
  checkAllAnswered(): void {
    for (const askId of this.asks.keys())
      assert.ok(this.outcomes.has(askId), `${askId} unanswered`);
  }

  private applyEvent(event: DispatchEvent): void {
    switch (event.kind) {
      case DispatchEventKind.Ask:
        this.addAsk(event.ask);
        return;
      case DispatchEventKind.Withdraw:
        this.asks.delete(event.askId);
        this.holders.delete(event.askId);
        return;
      case DispatchEventKind.Release:
        this.removeReleased(event.release);
        return;
      case DispatchEventKind.LoadReport:
        if (event.report.isLeaving) this.leaving.add(event.report.upstream);
        return;
      case DispatchEventKind.UpstreamLeaving:
        this.leaving.add(event.upstream);
        return;
      case DispatchEventKind.UpstreamLost:
        this.removeEngine(event.upstream);
        return;
      case DispatchEventKind.UpstreamProbed:
        if (event.isHealthy) this.lost.delete(event.upstream);
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

  private addAsk(ask: GrantAsk): void {
    if (ask.isSuspect) this.suspects.add(ask.fingerprint);
    if (this.seen.has(ask.askId)) return;
    this.seen.add(ask.askId);
    if (ask.heldUpstream === undefined) {
      this.asks.set(ask.askId, ask);
      return;
    }
    this.holders.set(ask.askId, {
      ask,
      upstream: ask.heldUpstream,
      isPaused: false,
      isSuspect: false,
      wasHeld: true,
    });
  }

  private removeReleased(release: GrantRelease): void {
    const holder = this.holders.get(release.askId);
    this.holders.delete(release.askId);
    if (holder === undefined) return;
    const { fingerprint } = holder.ask;
    if (release.reason === ReleaseReason.UpstreamDied) this.suspects.add(fingerprint);
    if (holder.isSuspect && release.reason === ReleaseReason.Finished)
      this.cleared.add(fingerprint);
    if (release.reason === ReleaseReason.UpstreamDied) this.cleared.delete(fingerprint);
  }

  /** A grant whose end is never reported may be forgotten well after its deadline. */
  private removeOverdue(nowMs: number): void {
    for (const [askId, holder] of this.holders)
      if (nowMs > holder.ask.deadlineAtMs + OVERDUE_LIMIT_MS) this.holders.delete(askId);
  }

  private removeEngine(upstream: UpstreamId): void {
    this.lost.add(upstream);
    for (const [askId, holder] of this.holders) {
      if (holder.upstream !== upstream) continue;
      this.suspects.add(holder.ask.fingerprint);
      this.cleared.delete(holder.ask.fingerprint);
      this.holders.delete(askId);
    }
  }

  private removeVm(vm: string): void {
    for (const [askId, ask] of this.asks) if (ask.vm === vm) this.asks.delete(askId);
    for (const [askId, holder] of this.holders)
      if (holder.ask.vm === vm) this.holders.delete(askId);
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

  private isRepeat(action: DispatchAction & { askId: string }, event: DispatchEvent): boolean {
    const earlier = this.outcomes.get(action.askId);
    if (earlier === undefined) return false;
    assert.deepEqual(action, earlier, 'a second answer differs from the first');
    assert.ok(event.kind === DispatchEventKind.Ask && event.ask.askId === action.askId);
    return true;
  }

  private checkGrant(
    action: Extract<DispatchAction, { kind: DispatchActionKind.Grant }>,
    event: DispatchEvent,
  ): void {
    if (this.isRepeat(action, event)) return;
    const ask = this.asks.get(action.askId);
    assert.ok(ask !== undefined, `${action.askId} was granted but nobody asks`);
    this.outcomes.set(action.askId, action);
    this.checkOpenToWork(action.upstream);
    assert.ok(!ask.excludedUpstreams.includes(action.upstream), 'granted an excluded engine');
    const isSuspect = ask.isSuspect && !this.cleared.has(ask.fingerprint);
    if (isSuspect) this.checkSuspect(ask, action.upstream);
    this.holders.set(action.askId, {
      ask,
      upstream: action.upstream,
      isPaused: false,
      isSuspect,
      wasHeld: false,
    });
  }

  private checkOpenToWork(upstream: UpstreamId): void {
    assert.ok(this.members.has(upstream), `${upstream} is not of the shard`);
    assert.ok(!this.leaving.has(upstream), `${upstream} is leaving`);
    assert.ok(!this.lost.has(upstream), `${upstream} is lost`);
    assert.ok(!this.isDraining(upstream), `${upstream} is drained`);
  }

  private isDraining(upstream: UpstreamId): boolean {
    return this.configuration?.upstreams.get(upstream)?.draining === true;
  }

  private checkSuspect(ask: GrantAsk, upstream: UpstreamId): void {
    for (const holder of this.holders.values()) {
      const isOther = holder.isSuspect && holder.upstream === upstream;
      assert.ok(!isOther, `two suspects on ${upstream}`);
      const isSame = holder.isSuspect && holder.ask.fingerprint === ask.fingerprint;
      assert.ok(!isSame, 'a suspect runs twice at once');
    }
  }

  private checkRefusal(
    action: Extract<DispatchAction, { kind: DispatchActionKind.Refuse }>,
    event: DispatchEvent,
    nowMs: number,
  ): void {
    if (this.isRepeat(action, event)) return;
    const ask = this.asks.get(action.askId);
    assert.ok(ask !== undefined, `${action.askId} was refused but nobody asks`);
    assert.ok(!this.holders.has(action.askId), 'refused as not run while it runs');
    this.outcomes.set(action.askId, action);
    const definition = this.findClass(ask);
    if (definition === undefined || !PAYING_TIERS.has(definition.tier)) return;
    const couldStart = ask.deadlineAtMs > nowMs && !this.suspects.has(ask.fingerprint);
    if (!CAPACITY_CODES.has(action.code) || !couldStart) return;
    const holder = this.findLowerHolder(ask, definition);
    assert.ok(
      holder === undefined,
      `paying ${ask.askId} refused (${action.code}) while ${holder?.ask.askId ?? ''} runs`,
    );
  }

  private findClass(ask: GrantAsk): ClassConfiguration | undefined {
    return this.configuration?.services.get(ask.service)?.classes.get(ask.className);
  }

  private findLowerHolder(ask: GrantAsk, definition: ClassConfiguration): Holder | undefined {
    for (const holder of this.holders.values()) {
      const other = this.findClass(holder.ask);
      if (holder.isPaused || other === undefined) continue;
      if (TIER_RANK[other.tier] <= TIER_RANK[definition.tier]) continue;
      if (ask.excludedUpstreams.includes(holder.upstream)) continue;
      if (this.isUsable(holder.upstream)) return holder;
    }
    return undefined;
  }

  private isUsable(upstream: UpstreamId): boolean {
    if (!this.members.has(upstream) || this.isDraining(upstream)) return false;
    const known = this.dispatcher.describe().upstreams.find((other) => other.upstream === upstream);
    return known !== undefined && USABLE_HEALTH.has(known.health);
  }

  private checkPreemption(askId: string, mode: PreemptionMode): void {
    const holder = this.holders.get(askId);
    assert.ok(holder !== undefined, `${askId} holds nothing that could be ${mode}d`);
    if (mode === PreemptionMode.Resume) {
      this.checkOpenToWork(holder.upstream);
      holder.isPaused = false;
      return;
    }
    const definition = this.findClass(holder.ask);
    const isPaying = definition !== undefined && PAYING_TIERS.has(definition.tier);
    const isRunning = !holder.isPaused;
    if (mode === PreemptionMode.Cancel) this.holders.delete(askId);
    holder.isPaused = true;
    // A culprit is taken off its engine whatever its tier.
    if (!isPaying || !isRunning || this.suspects.has(holder.ask.fingerprint)) return;
    const lower = this.findLowerHolder({ ...holder.ask, excludedUpstreams: [] }, definition);
    assert.ok(
      lower === undefined,
      `paying ${askId} preempted while ${lower?.ask.askId ?? ''} runs`,
    );
  }

  private checkSlots(): void {
    const counts = new Map<UpstreamId, number>();
    for (const holder of this.holders.values()) {
      if (holder.isPaused || holder.wasHeld) continue;
      counts.set(holder.upstream, (counts.get(holder.upstream) ?? 0) + 1);
    }
    for (const [upstream, count] of counts) {
      const slots = this.configuration?.upstreams.get(upstream)?.slots ?? Infinity;
      assert.ok(count <= slots, `${count} requests run on the ${slots} slots of ${upstream}`);
    }
  }
}
