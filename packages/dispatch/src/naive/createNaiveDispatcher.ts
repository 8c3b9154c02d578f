import { ResultCode } from '@sardinegrade/common';

import { DispatchActionKind, DispatchEventKind } from '../enums.js';

import type { Configuration, UpstreamConfiguration, UpstreamId, VmId } from '@sardinegrade/common';
import type { DispatchAction, DispatchEvent, Dispatcher, GrantAsk } from '../types.js';

interface GrantedAsk {
  readonly ask: GrantAsk;
  readonly upstream: UpstreamId;
}

interface SlotState {
  configuration: Configuration | undefined;
  upstreams: readonly UpstreamConfiguration[];
  nextUpstream: number;
  waiting: GrantAsk[];
  readonly granted: Map<string, GrantedAsk>;
  readonly counts: Map<UpstreamId, number>;
  readonly gone: Set<UpstreamId>;
}

const getCount = (state: SlotState, upstream: UpstreamId): number =>
  state.counts.get(upstream) ?? 0;

const canServe = (state: SlotState, upstream: UpstreamConfiguration, ask: GrantAsk): boolean => {
  if (upstream.draining || state.gone.has(upstream.id)) return false;
  if (ask.excludedUpstreams.includes(upstream.id)) return false;
  if (state.configuration?.services.get(ask.service)?.pool !== upstream.pool) return false;
  return getCount(state, upstream.id) < upstream.slots;
};

const hasFreeSlot = (state: SlotState): boolean =>
  state.upstreams.some(({ id, slots }) => !state.gone.has(id) && getCount(state, id) < slots);

const pickNext = (state: SlotState, ask: GrantAsk): UpstreamId | undefined => {
  const count = state.upstreams.length;
  for (let step = 0; step < count; step += 1) {
    const index = (state.nextUpstream + step) % count;
    const upstream = state.upstreams[index];
    if (upstream === undefined || !canServe(state, upstream, ask)) continue;
    state.nextUpstream = (index + 1) % count;
    return upstream.id;
  }
  return undefined;
};

const addGrant = (state: SlotState, ask: GrantAsk, upstream: UpstreamId): void => {
  state.granted.set(ask.askId, { ask, upstream });
  state.counts.set(upstream, getCount(state, upstream) + 1);
};

const removeGrant = (state: SlotState, askId: string): void => {
  const grant = state.granted.get(askId);
  if (grant === undefined) return;
  state.granted.delete(askId);
  state.counts.set(grant.upstream, getCount(state, grant.upstream) - 1);
};

const refuse = (askId: string, code: ResultCode): DispatchAction => ({
  kind: DispatchActionKind.Refuse,
  askId,
  code,
  retryAfterMs: undefined,
});

const grantWaiting = (state: SlotState, nowMs: number): readonly DispatchAction[] => {
  const actions: DispatchAction[] = [];
  const kept: GrantAsk[] = [];
  let canGrant = hasFreeSlot(state);
  for (const ask of state.waiting) {
    if (ask.deadlineAtMs <= nowMs) {
      actions.push(refuse(ask.askId, ResultCode.DeadlineBeforeStart));
      continue;
    }
    const upstream = canGrant ? pickNext(state, ask) : undefined;
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

const handleAsk = (state: SlotState, ask: GrantAsk): readonly DispatchAction[] => {
  if (state.granted.has(ask.askId)) return [];
  if (state.waiting.some((waiting) => waiting.askId === ask.askId)) return [];
  if (ask.heldUpstream !== undefined) {
    addGrant(state, ask, ask.heldUpstream);
    return [];
  }
  if (state.configuration?.services.has(ask.service) !== true)
    return [refuse(ask.askId, ResultCode.UnknownService)];
  state.waiting.push(ask);
  return [];
};

const removeWaiting = (state: SlotState, askId: string): void => {
  state.waiting = state.waiting.filter((waiting) => waiting.askId !== askId);
};

const removeUpstream = (state: SlotState, upstream: UpstreamId): void => {
  state.gone.add(upstream);
  for (const [askId, grant] of [...state.granted]) {
    if (grant.upstream === upstream) removeGrant(state, askId);
  }
};

const removeVm = (state: SlotState, vm: VmId): void => {
  state.waiting = state.waiting.filter((waiting) => waiting.vm !== vm);
  for (const [askId, grant] of [...state.granted]) {
    if (grant.ask.vm === vm) removeGrant(state, askId);
  }
};

const applyConfiguration = (
  state: SlotState,
  configuration: Configuration,
  upstreams: readonly UpstreamId[],
): void => {
  state.configuration = configuration;
  state.upstreams = upstreams.flatMap((id) => configuration.upstreams.get(id) ?? []);
  state.nextUpstream = 0;
};

const applyEvent = (state: SlotState, event: DispatchEvent): readonly DispatchAction[] => {
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
      state.gone.add(event.upstream);
      return [];
    case DispatchEventKind.UpstreamLost:
      removeUpstream(state, event.upstream);
      return [];
    case DispatchEventKind.UpstreamProbed:
      if (event.isHealthy) state.gone.delete(event.upstream);
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
  asks: Iterable<Pick<GrantAsk, 'service' | 'className'>>,
): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = {};
  for (const { service, className } of asks) {
    const key = `${service}/${className}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
};

/**
 * Creates the baseline dispatcher of comparisons.
 *
 * @returns a dispatcher that serves in order of arrival and takes engines in turn
 */
export const createNaiveDispatcher = (): Dispatcher => {
  const state: SlotState = {
    configuration: undefined,
    upstreams: [],
    nextUpstream: 0,
    waiting: [],
    granted: new Map(),
    counts: new Map(),
    gone: new Set(),
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
        health: state.gone.has(id) ? 'gone' : 'healthy',
      })),
    }),
  };
};
