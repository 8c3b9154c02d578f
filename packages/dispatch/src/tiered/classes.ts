import { PAYING_TIERS, TIER_RANK } from '@sardinegrade/common';

import { createAverage } from '../collections/index.js';
import { ClassQueue } from '../queues/index.js';

import type { ClassConfiguration, ServiceConfiguration, WorkspaceName } from '@sardinegrade/common';
import type { GrantRequest } from '../types.js';
import type { ClassState, TieredState } from './types.js';

/** Every class is guaranteed at least this share of the shard, regardless of its configuration. */
const MIN_GUARANTEED_SHARE = 0.01;

const DEFAULT_WEIGHT = 1;

/**
 * Builds the key of a class, which is unique across services.
 *
 * @param names - names of the service and the class
 * @returns the key in the form `service/class`
 */
export const buildClassKey = (names: Pick<GrantRequest, 'service' | 'className'>): string =>
  `${names.service}/${names.className}`;

/**
 * Gets the weight of a workspace.
 *
 * @param state - dispatcher state
 * @param workspace - name of the workspace
 * @returns its configured weight, or 1
 */
export const getWeight = (state: TieredState, workspace: WorkspaceName): number =>
  state.configuration?.workspaces.get(workspace)?.weight ?? DEFAULT_WEIGHT;

/**
 * Creates the state of a class without requests.
 *
 * @param state - dispatcher state
 * @param service - configuration of the service
 * @param definition - configuration of the class
 * @returns the state of the class
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
  guaranteedCount: 0,
  creditTokens: 0,
  holdMs: createAverage(),
  outputTokens: createAverage(),
});

/**
 * Compares two classes by tier, then priority, then key.
 *
 * @param left - one class
 * @param right - another
 * @returns a negative number if the left one is served first
 */
export const compareClasses = (left: ClassState, right: ClassState): number =>
  left.tierRank - right.tierRank ||
  left.definition.priority - right.definition.priority ||
  (left.key < right.key ? -1 : 1);

/**
 * Counts the waiting requests of a class, without paused ones.
 *
 * @param classState - the class
 * @returns the number of requests that have not been granted
 */
export const countWaiting = (classState: ClassState): number =>
  classState.queue.size + classState.constrained.size;

/**
 * Returns whether a class has requests that need a slot.
 *
 * @param classState - the class
 * @returns whether requests are waiting or paused
 */
export const hasPendingRequests = (classState: ClassState): boolean =>
  classState.paused.size > 0 || countWaiting(classState) > 0;

/**
 * Gets the share of the shard that a class is guaranteed.
 *
 * @param classState - the class
 * @returns a number between 0 and 1
 */
export const getGuaranteedShare = (classState: ClassState): number =>
  Math.max(MIN_GUARANTEED_SHARE, classState.definition.minimumShare);

/**
 * Computes a count for each configured class.
 *
 * @param state - dispatcher state
 * @param count - computes the count of one class
 * @returns counts by `service/class`
 */
export const countByClass = (
  state: TieredState,
  count: (classState: ClassState) => number,
): Readonly<Record<string, number>> =>
  Object.fromEntries(state.classes.map((classState) => [classState.key, count(classState)]));
