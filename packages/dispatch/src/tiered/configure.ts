import { ResultCode } from '@sardinegrade/common';

import { createEngine } from '../engines/index.js';
import { buildClassKey, compareClasses, createClass, getWeight } from './classes.js';
import { refuseUnservable } from './engineEvents.js';
import { updateAvailablePools } from './engineSelection.js';
import { refuseRecord } from './records.js';

import type {
  Configuration,
  ServiceConfiguration,
  UpstreamConfiguration,
  UpstreamId,
} from '@sardinegrade/common';
import type { ClassState, TieredEngine, TieredState } from './types.js';

const updateService = (state: TieredState, service: ServiceConfiguration): readonly ClassState[] =>
  [...service.classes.values()].map((definition) => {
    const key = buildClassKey({ service: service.name, className: definition.name });
    const known = state.classByKey.get(key);
    const classState = known ?? createClass(state, service, definition);
    const fresh = createClass(state, service, definition);
    classState.pool = fresh.pool;
    classState.definition = fresh.definition;
    classState.tierRank = fresh.tierRank;
    classState.isPaying = fresh.isPaying;
    classState.isConfigured = true;
    classState.queue.setWeights((workspace) => getWeight(state, workspace));
    state.classByKey.set(key, classState);
    return classState;
  });

const removeClass = (state: TieredState, classState: ClassState, nowMs: number): void => {
  classState.isConfigured = false;
  for (const record of [...classState.constrained, ...classState.queue.list()])
    refuseRecord(state, record, ResultCode.UnknownClass, undefined, nowMs);
  if (classState.running.size + classState.paused.size === 0)
    state.classByKey.delete(classState.key);
};

const updateClasses = (state: TieredState, configuration: Configuration, nowMs: number): void => {
  const services = [...configuration.services.values()];
  const configured = services.flatMap((service) => updateService(state, service));
  const kept = new Set(configured);
  for (const classState of [...state.classByKey.values()]) {
    if (!kept.has(classState)) removeClass(state, classState, nowMs);
  }
  state.classes = configured.sort(compareClasses);
};

const updateEngine = (
  state: TieredState,
  definition: UpstreamConfiguration,
  nowMs: number,
): void => {
  const known = state.engineById.get(definition.id);
  if (known === undefined) {
    state.engineById.set(definition.id, createEngine(definition, nowMs));
    return;
  }
  if (known.slots !== definition.slots) known.limit = definition.slots;
  known.pool = definition.pool;
  known.slots = definition.slots;
  known.isDraining = definition.draining;
  known.isMember = true;
};

const isEmpty = (engine: TieredEngine): boolean => engine.running.size + engine.paused.size === 0;

const updateEngines = (
  state: TieredState,
  configuration: Configuration,
  upstreams: readonly UpstreamId[],
  nowMs: number,
): void => {
  for (const engine of state.engineById.values()) engine.isMember = false;
  for (const id of upstreams) {
    const definition = configuration.upstreams.get(id);
    if (definition !== undefined) updateEngine(state, definition, nowMs);
  }
  for (const engine of [...state.engineById.values()]) {
    // An engine that may return to the shard keeps its state, so that a leaving one is still leaving then.
    const isRemoved = !engine.isMember && !configuration.upstreams.has(engine.id);
    if (isRemoved && isEmpty(engine)) state.engineById.delete(engine.id);
  }
  state.engines = [...state.engineById.values()];
  updateAvailablePools(state);
};

/**
 * Applies a configuration or a change of the shard's engines; an older generation is ignored.
 *
 * @param state - dispatcher state, modified in place
 * @param configuration - the complete configuration
 * @param upstreams - identifiers of the shard's engines
 * @param nowMs - current time, in milliseconds
 */
export const handleConfigured = (
  state: TieredState,
  configuration: Configuration,
  upstreams: readonly UpstreamId[],
  nowMs: number,
): void => {
  if (configuration.generation < (state.configuration?.generation ?? 0)) return;
  state.configuration = configuration;
  updateEngines(state, configuration, upstreams, nowMs);
  updateClasses(state, configuration, nowMs);
  refuseUnservable(state, nowMs);
};
