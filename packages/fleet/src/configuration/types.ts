import type { Configuration, ModelName, PoolName } from '@sardinegrade/common';
import type { DrainScope, EngineRole } from './enums.js';

/** A model that the engines of a pool must have loaded. */
export interface PoolModel {
  readonly model: ModelName;
  /** Undefined if any version is acceptable. */
  readonly version: string | undefined;
  /** Undefined for the base model. */
  readonly adapter: string | undefined;
}

/** Models that the controller has the engines of a pool load, with their role and number of copies. */
export interface PoolConfiguration {
  readonly name: PoolName;
  readonly models: readonly PoolModel[];
  /** Undefined if the engines keep their current role. */
  readonly role: EngineRole | undefined;
  /** Number of engines per data centre that have each model loaded; 0 means all. */
  readonly copies: number;
}

/** A drain mark: its target receives no new work. */
export interface Drain {
  readonly scope: DrainScope;
  /** Name of the VM, upstream or data centre. */
  readonly name: string;
  readonly author: string;
  readonly sinceMs: number;
}

/** A configuration including the pools and drain marks of the fleet. */
export interface FleetConfiguration extends Configuration {
  readonly pools: ReadonlyMap<PoolName, PoolConfiguration>;
  /** Active drain marks; those of upstreams and data centres are also applied to `upstreams`. */
  readonly drains: readonly Drain[];
}
