import { OrderKind } from './enums.js';
import { rankModels } from './rankModels.js';
import { buildDesiredStates } from './buildDesiredStates.js';

import type { UpstreamId } from '@sardinegrade/common';
import type { PoolModel } from '@sardinegrade/fleet';
import type { EngineOrder, EngineState, PlanInput } from './types.js';
import type { DesiredState } from './buildDesiredStates.js';

/** An engine that can receive an order now, with its desired and actual state. */
interface ReadyEngine {
  readonly desired: DesiredState;
  readonly actual: EngineState;
  /** Models that have to be loaded. */
  readonly missing: readonly PoolModel[];
}

const UNRANKED = Number.MAX_SAFE_INTEGER;

const isMissing = (model: PoolModel, actual: EngineState): boolean => {
  if (!actual.models.includes(model.model)) return true;
  if (model.adapter !== undefined && !actual.adapters.includes(model.adapter)) return true;
  return model.version !== undefined && actual.versions[model.model] !== model.version;
};

const listReadyEngines = (input: PlanInput): readonly ReadyEngine[] =>
  buildDesiredStates(input.configuration, input.dataCentre).flatMap((desired) => {
    const actual = input.actual.get(desired.upstream.id);
    if (actual === undefined || input.busy.has(desired.upstream.id)) return [];
    if (actual.loading.length > 0) return [];
    const missing = desired.models.filter((model) => isMissing(model, actual));
    return [{ desired, actual, missing }];
  });

/** Counts the engines of the data centre that hold each model and can serve it. */
const countCopies = (input: PlanInput): Map<string, number> => {
  const copies = new Map<string, number>();
  for (const [id, { models, loading }] of input.actual) {
    const upstream = input.configuration.upstreams.get(id);
    // An engine with a pending order may be about to unload a model that it still reports.
    if (upstream === undefined || upstream.draining || input.busy.has(id)) continue;
    for (const model of models) {
      if (!loading.includes(model)) copies.set(model, (copies.get(model) ?? 0) + 1);
    }
  }
  return copies;
};

const createOrder = (
  desired: DesiredState,
  kind: OrderKind,
  details: Partial<Pick<EngineOrder, 'model' | 'version' | 'adapter' | 'role'>>,
): EngineOrder => ({
  upstream: desired.upstream,
  kind,
  model: undefined,
  version: undefined,
  adapter: undefined,
  role: undefined,
  ...details,
});

/** Plans at most one load per engine: models of the best tier first, then those with the fewest copies. */
const listLoadOrders = (
  input: PlanInput,
  ready: readonly ReadyEngine[],
): readonly EngineOrder[] => {
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
  const enginesWithOrder = new Set<UpstreamId>();
  const replacedModels = new Set<string>();
  const orders: EngineOrder[] = [];
  for (const { engine, model } of candidates) {
    const { id } = engine.desired.upstream;
    const isReplacement = engine.actual.models.includes(model.model);
    // A version is replaced on one engine at a time, so that the other engines continue to serve the model.
    if (enginesWithOrder.has(id) || (isReplacement && replacedModels.has(model.model))) continue;
    enginesWithOrder.add(id);
    if (isReplacement) replacedModels.add(model.model);
    orders.push(createOrder(engine.desired, OrderKind.Load, model));
  }
  return orders;
};

const listRoleOrders = (ready: readonly ReadyEngine[]): readonly EngineOrder[] =>
  ready.flatMap(({ desired, actual }) => {
    const { role } = desired.pool;
    if (role === undefined || actual.role === role) return [];
    return [createOrder(desired, OrderKind.Role, { role })];
  });

/** Plans unloads of models and adapters that are not desired; the last copy of a model that a service needs is kept. */
const listUnloadOrders = (
  input: PlanInput,
  ready: readonly ReadyEngine[],
): readonly EngineOrder[] => {
  const modelRanks = rankModels(input.configuration);
  const copies = countCopies(input);
  const orders: EngineOrder[] = [];
  for (const { desired, actual, missing } of ready) {
    if (missing.length > 0) continue;
    const desiredModels = new Set<string>(desired.models.map((model) => model.model));
    for (const model of actual.models) {
      if (desiredModels.has(model)) continue;
      const count = copies.get(model) ?? 0;
      if (modelRanks.has(model) && count <= 1) continue;
      copies.set(model, count - 1);
      orders.push(createOrder(desired, OrderKind.Unload, { model }));
    }
    const adapters = new Set(desired.models.map((model) => model.adapter));
    for (const adapter of actual.adapters) {
      if (!adapters.has(adapter)) orders.push(createOrder(desired, OrderKind.Unload, { adapter }));
    }
  }
  return orders;
};

/**
 * Compares the actual state of engines with their desired state.
 *
 * @param input - configuration, states of the engines and engines with a pending order
 * @returns the orders that bring the engines closer to the configuration, the most urgent first
 */
export const deriveOrders = (input: PlanInput): readonly EngineOrder[] => {
  const ready = listReadyEngines(input);
  return [
    ...listLoadOrders(input, ready),
    ...listRoleOrders(ready),
    ...listUnloadOrders(input, ready),
  ];
};
