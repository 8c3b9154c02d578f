import { OrderKind } from './enums.js';
import { rankModels } from './rankModels.js';
import { buildWantedStates } from './wantedModels.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { PoolModel } from '@sardinegrade/fleet';
import type { EngineOrder, EngineState, PlanInput } from './types.js';
import type { WantedState } from './wantedModels.js';

/** An engine that can be given an order now. */
interface ReadyEngine {
  readonly wanted: WantedState;
  readonly actual: EngineState;
  readonly missing: readonly PoolModel[];
}

const UNRANKED = Number.MAX_SAFE_INTEGER;

const isMissing = (model: PoolModel, actual: EngineState): boolean => {
  if (!actual.models.includes(model.model)) return true;
  if (model.adapter !== undefined && !actual.adapters.includes(model.adapter)) return true;
  return model.version !== undefined && actual.versions[model.model] !== model.version;
};

const listReady = (input: PlanInput): readonly ReadyEngine[] =>
  buildWantedStates(input.configuration, input.dataCentre).flatMap((wanted) => {
    const actual = input.actual.get(wanted.upstream.id);
    if (actual === undefined || input.busy.has(wanted.upstream.id)) return [];
    if (actual.loading.length > 0) return [];
    const missing = wanted.models.filter((model) => isMissing(model, actual));
    return [{ wanted, actual, missing }];
  });

/** Counts the engines of the data centre that hold each model and can serve it. */
const countCopies = (input: PlanInput): Map<string, number> => {
  const copies = new Map<string, number>();
  for (const [id, { models, loading }] of input.actual) {
    const upstream = input.configuration.upstreams.get(id);
    // An engine with an order under way may be about to lose what it still shows.
    if (upstream === undefined || upstream.draining || input.busy.has(id)) continue;
    for (const model of models) {
      if (!loading.includes(model)) copies.set(model, (copies.get(model) ?? 0) + 1);
    }
  }
  return copies;
};

const createOrder = (
  wanted: WantedState,
  kind: OrderKind,
  details: Partial<Pick<EngineOrder, 'model' | 'version' | 'adapter' | 'role'>>,
): EngineOrder => ({
  upstream: wanted.upstream,
  kind,
  model: undefined,
  version: undefined,
  adapter: undefined,
  role: undefined,
  ...details,
});

/** Plans at most one load per engine: the best tier's first, then what has the fewest copies. */
const listLoads = (input: PlanInput, ready: readonly ReadyEngine[]): readonly EngineOrder[] => {
  const ranks = rankModels(input.configuration);
  const copies = countCopies(input);
  const getRank = (model: PoolModel): number => ranks.get(model.model) ?? UNRANKED;
  const getCopies = (model: PoolModel): number => copies.get(model.model) ?? 0;
  const candidates = ready
    .flatMap((engine) => engine.missing.map((model) => ({ engine, model })))
    .sort(
      (left, right) =>
        getRank(left.model) - getRank(right.model) ||
        getCopies(left.model) - getCopies(right.model),
    );
  const taken = new Set<UpstreamId>();
  const replaced = new Set<string>();
  const orders: EngineOrder[] = [];
  for (const { engine, model } of candidates) {
    const { id } = engine.wanted.upstream;
    const isReplacement = engine.actual.models.includes(model.model);
    // Versions are replaced engine by engine, so that the others go on serving meanwhile.
    if (taken.has(id) || (isReplacement && replaced.has(model.model))) continue;
    taken.add(id);
    if (isReplacement) replaced.add(model.model);
    orders.push(createOrder(engine.wanted, OrderKind.Load, model));
  }
  return orders;
};

const listRoles = (ready: readonly ReadyEngine[]): readonly EngineOrder[] =>
  ready.flatMap(({ wanted, actual }) => {
    const { role } = wanted.pool;
    if (role === undefined || actual.role === role) return [];
    return [createOrder(wanted, OrderKind.Role, { role })];
  });

/** Plans what can go; the last copy of a model that a service needs always stays. */
const listUnloads = (input: PlanInput, ready: readonly ReadyEngine[]): readonly EngineOrder[] => {
  const needed = rankModels(input.configuration);
  const copies = countCopies(input);
  const orders: EngineOrder[] = [];
  for (const { wanted, actual, missing } of ready) {
    if (missing.length > 0) continue;
    const kept = new Set<string>(wanted.models.map((model) => model.model));
    for (const model of actual.models) {
      if (kept.has(model)) continue;
      const count = copies.get(model) ?? 0;
      if (needed.has(model) && count <= 1) continue;
      copies.set(model, count - 1);
      orders.push(createOrder(wanted, OrderKind.Unload, { model }));
    }
    const adapters = new Set(wanted.models.map((model) => model.adapter));
    for (const adapter of actual.adapters) {
      if (!adapters.has(adapter)) orders.push(createOrder(wanted, OrderKind.Unload, { adapter }));
    }
  }
  return orders;
};

/**
 * Compares what engines hold with what they are to hold.
 *
 * @param input - configuration, engines' states and orders under way
 * @returns the orders that bring the engines nearer to the configuration, the most urgent first
 */
export const deriveOrders = (input: PlanInput): readonly EngineOrder[] => {
  const ready = listReady(input);
  return [...listLoads(input, ready), ...listRoles(ready), ...listUnloads(input, ready)];
};
