import { PAYING_TIERS, TIER_RANK } from '@sardinegrade/common';

import { createAverage } from '../collections/index.js';
import { ClassQueue } from '../queues/index.js';

import type { ClassConfiguration, ServiceConfiguration, WorkspaceName } from '@sardinegrade/common';
import type { GrantAsk } from '../types.js';
import type { ClassState, TieredState } from './types.js';

/** Every class gets at least this part of the shard, whatever its configuration. */
const SHARE_FLOOR = 0.01;

const DEFAULT_WEIGHT = 1;

/**
 * Builds the key of a class, unique over services.
 *
 * @param names - service and class
 * @returns the key
 */
export const buildClassKey = (names: Pick<GrantAsk, 'service' | 'className'>): string =>
  `${names.service}/${names.className}`;

/**
 * Gives the weight of a workspace.
 *
 * @param state - the dispatcher's state
 * @param workspace - its name
 * @returns its configured weight, or 1
 */
export const getWeight = (state: TieredState, workspace: WorkspaceName): number =>
  state.configuration?.workspaces.get(workspace)?.weight ?? DEFAULT_WEIGHT;

/**
 * Creates a class without asks.
 *
 * @param state - the dispatcher's state
 * @param service - the service's configuration
 * @param definition - the class's configuration
 * @returns the class
 */
export const createClass = (
  state: TieredState,
  service: ServiceConfiguration,
  definition: ClassConfiguration,
): ClassState => ({
  key: buildClassKey({ service: service.name, className: definition.name }),
  service: service.name,
  pool: service.pool,
  definition,
  tierRank: TIER_RANK[definition.tier],
  isPaying: PAYING_TIERS.has(definition.tier),
  isConfigured: true,
  queue: new ClassQueue((workspace) => getWeight(state, workspace)),
  constrained: new Set(),
  running: new Set(),
  paused: new Set(),
  guaranteed: 0,
  credit: 0,
  holdMs: createAverage(),
  outputTokens: createAverage(),
});

/**
 * Orders classes by tier, then priority.
 *
 * @param left - one class
 * @param right - another
 * @returns a negative number where the left one is served first
 */
export const compareClasses = (left: ClassState, right: ClassState): number =>
  left.tierRank - right.tierRank ||
  left.definition.priority - right.definition.priority ||
  (left.key < right.key ? -1 : 1);

/**
 * Counts the waiting asks of a class.
 *
 * @param owner - the class
 * @returns asks that hold no place and never held one
 */
export const countWaiting = (owner: ClassState): number =>
  owner.queue.size + owner.constrained.size;

/**
 * Says whether a class could use a place.
 *
 * @param owner - the class
 * @returns whether asks wait or are paused
 */
export const hasWork = (owner: ClassState): boolean =>
  owner.paused.size > 0 || countWaiting(owner) > 0;

/**
 * Gives the part of the shard that a class is guaranteed.
 *
 * @param owner - the class
 * @returns a number between 0 and 1
 */
export const getGuaranteedShare = (owner: ClassState): number =>
  Math.max(SHARE_FLOOR, owner.definition.minimumShare);

/**
 * Counts something of each class.
 *
 * @param state - the dispatcher's state
 * @param count - counts it in one class
 * @returns counts by `service/class`
 */
export const countByClass = (
  state: TieredState,
  count: (owner: ClassState) => number,
): Readonly<Record<string, number>> =>
  Object.fromEntries(state.classes.map((owner) => [owner.key, count(owner)]));
