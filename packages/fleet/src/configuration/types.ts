import type { Configuration, ModelName, PoolName } from '@sardinegrade/common';
import type { DrainScope, EngineRole } from './enums.js';

/** A model that the engines of a pool have to hold. */
export interface PoolModel {
  readonly model: ModelName;
  /** Undefined where any version will do. */
  readonly version: string | undefined;
  /** Undefined for the base model. */
  readonly adapter: string | undefined;
}

/** What the engines of a pool are ordered to hold. */
export interface PoolConfiguration {
  readonly name: PoolName;
  readonly models: readonly PoolModel[];
  /** Undefined where engines keep the role they have. */
  readonly role: EngineRole | undefined;
  /** Engines per data centre that hold each model; 0 means all. */
  readonly copies: number;
}

/** A mark that something is to receive no new work. */
export interface Drain {
  readonly scope: DrainScope;
  /** A VM's, an upstream's or a data centre's name. */
  readonly name: string;
  readonly author: string;
  readonly sinceMs: number;
}

/** A configuration with what concerns the fleet itself. */
export interface FleetConfiguration extends Configuration {
  readonly pools: ReadonlyMap<PoolName, PoolConfiguration>;
  /** Drains in force; those of upstreams and data centres show in `upstreams` too. */
  readonly drains: readonly Drain[];
}
