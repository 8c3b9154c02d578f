import { ResultCode } from '@sardinegrade/common';

import { DispatchActionKind, DispatchEventKind } from '../enums.js';

import type { Configuration, UpstreamConfiguration, UpstreamId, VmId } from '@sardinegrade/common';
import type { DispatchAction, DispatchEvent, Dispatcher, GrantRequest } from '../types.js';

interface GrantedRequest {
  readonly ask: GrantRequest;
  readonly upstream: UpstreamId;
}

interface NaiveState {
  configuration: Configuration | undefined;
  upstreams: readonly UpstreamConfiguration[];
  nextIndex: number;
  waiting: GrantRequest[];
  readonly granted: Map<string, GrantedRequest>;
  readonly grantCounts: Map<UpstreamId, number>;
  readonly unavailable: Set<UpstreamId>;
}

const getCount = (state: NaiveState, upstream: UpstreamId): number =>
  state.grantCounts.get(upstream) ?? 0;

const canServe = (
  state: NaiveState,
  upstream: UpstreamConfiguration,
  ask: GrantRequest,
): boolean => {
  if (upstream.draining || state.unavailable.has(upstream.id)) return false;
  if (ask.excludedUpstreams.includes(upstream.id)) return false;
  if (state.configuration?.services.get(ask.service)?.pool !== upstream.pool) return false;
  return getCount(state, upstream.id) < upstream.slots;
};

const hasFreeSlot = (state: NaiveState): boolean =>
  state.upstreams.some(
    ({ id, slots }) => !state.unavailable.has(id) && getCount(state, id) < slots,
  );

const pickNextUpstream = (state: NaiveState, ask: GrantRequest): UpstreamId | undefined => {
  const count = state.upstreams.length;
  for (let step = 0; step < count; step += 1) {
    const index = (state.nextIndex + step) % count;
    const upstream = state.upstreams[index];
    if (upstream === undefined || !canServe(state, upstream, ask)) continue;
    state.nextIndex = (index + 1) % count;
    return upstream.id;
  }
  return undefined;
};

const addGrant = (state: NaiveState, ask: GrantRequest, upstream: UpstreamId): void => {
  state.granted.set(ask.askId, { ask, upstream });
  state.grantCounts.set(upstream, getCount(state, upstream) + 1);
};

const removeGrant = (state: NaiveState, askId: string): void => {
  const grant = state.granted.get(askId);
  if (grant === undefined) return;
  state.granted.delete(askId);
  state.grantCounts.set(grant.upstream, getCount(state, grant.upstream) - 1);
};

const buildRefusal = (askId: string, code: ResultCode): DispatchAction => ({
  kind: DispatchActionKind.Refuse,
  askId,
  code,
  retryAfterMs: undefined,
});

const grantWaiting = (state: NaiveState, nowMs: number): readonly DispatchAction[] => {
  const actions: DispatchAction[] = [];
  const kept: GrantRequest[] = [];
  let canGrant = hasFreeSlot(state);
  for (const ask of state.waiting) {
    if (ask.deadlineAtMs <= nowMs) {
      actions.push(buildRefusal(ask.askId, ResultCode.DeadlineBeforeStart));
      continue;
    }
    const upstream = canGrant ? pickNextUpstream(state, ask) : undefined;
    if (upstream === undefined) {
      kept.push(ask);
      continue;
    }
    addGrant(state, ask, upstream);
    canGrant = hasFreeSlot(state);
    actions.push({ kind: DispatchActionKind.Grant, askId: ask.askId, upstream, priority: 0 });
  }
  state.waiting = kept;
  return actions;
};

const handleAsk = (state: NaiveState, ask: GrantRequest): readonly DispatchAction[] => {
  if (state.granted.has(ask.askId)) return [];
  if (state.waiting.some((waiting) => waiting.askId === ask.askId)) return [];
  if (ask.heldUpstream !== undefined) {
    addGrant(state, ask, ask.heldUpstream);
    return [];
  }
  if (state.configuration?.services.has(ask.service) !== true)
    return [buildRefusal(ask.askId, ResultCode.UnknownService)];
  state.waiting.push(ask);
  return [];
};

const removeWaiting = (state: NaiveState, askId: string): void => {
  state.waiting = state.waiting.filter((waiting) => waiting.askId !== askId);
};

const removeUpstream = (state: NaiveState, upstream: UpstreamId): void => {
  state.unavailable.add(upstream);
  for (const [askId, grant] of [...state.granted]) {
    if (grant.upstream === upstream) removeGrant(state, askId);
  }
};

const removeVm = (state: NaiveState, vm: VmId): void => {
  state.waiting = state.waiting.filter((waiting) => waiting.vm !== vm);
  for (const [askId, grant] of [...state.granted]) {
    if (grant.ask.vm === vm) removeGrant(state, askId);
  }
};

const applyConfiguration = (
  state: NaiveState,
  configuration: Configuration,
  upstreams: readonly UpstreamId[],
): void => {
  state.configuration = configuration;
  state.upstreams = upstreams.flatMap((id) => configuration.upstreams.get(id) ?? []);
  state.nextIndex = 0;
};

const applyEvent = (state: NaiveState, event: DispatchEvent): readonly DispatchAction[] => {
  switch (event.kind) {
    case DispatchEventKind.Ask:
      return handleAsk(state, event.ask);
    case DispatchEventKind.Withdraw:
      removeWaiting(state, event.askId);
      removeGrant(state, event.askId);
      return [];
    case DispatchEventKind.Release:
      removeGrant(state, event.release.askId);
      return [];
    case DispatchEventKind.UpstreamLeaving:
      state.unavailable.add(event.upstream);
      return [];
    case DispatchEventKind.UpstreamLost:
      removeUpstream(state, event.upstream);
      return [];
    case DispatchEventKind.UpstreamProbed:
      if (event.isHealthy) state.unavailable.delete(event.upstream);
      return [];
    case DispatchEventKind.Configured:
      applyConfiguration(state, event.configuration, event.upstreams);
      return [];
    case DispatchEventKind.VmLost:
      removeVm(state, event.vm);
      return [];
    case DispatchEventKind.LoadReport:
    case DispatchEventKind.CacheEvent:
    case DispatchEventKind.Progress:
    case DispatchEventKind.Quarantined:
    case DispatchEventKind.Tick:
      return [];
  }
};

const countByClass = (
  asks: Iterable<Pick<GrantRequest, 'service' | 'className'>>,
): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { service, className } of asks) {
    const key = `${service}/${className}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
};

/**
 * Creates the dispatcher that serves as the baseline of comparisons.
 *
 * @returns a dispatcher that serves requests in order of arrival and picks engines by round robin
 */
export const createNaiveDispatcher = (): Dispatcher => {
  const state: NaiveState = {
    configuration: undefined,
    upstreams: [],
    nextIndex: 0,
    waiting: [],
    granted: new Map(),
    grantCounts: new Map(),
    unavailable: new Set(),
  };
  return {
    handle: (event, nowMs) => {
      const actions = applyEvent(state, event);
      return [...actions, ...grantWaiting(state, nowMs)];
    },
    describe: () => ({
      queuedByClass: countByClass(state.waiting),
      grantedByClass: countByClass([...state.granted.values()].map(({ ask }) => ask)),
      upstreams: state.upstreams.map(({ id, slots }) => ({
        upstream: id,
        granted: getCount(state, id),
        limit: slots,
        health: state.unavailable.has(id) ? 'gone' : 'healthy',
      })),
    }),
  };
};
