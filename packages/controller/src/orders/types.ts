import type { FleetConfiguration } from '@sardinegrade/fleet';
import type { DataCentreName, UpstreamConfiguration, UpstreamId } from '@sardinegrade/common';
import type { OrderKind } from './enums.js';

/** State that an engine reports. */
export interface EngineState {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  /** Version of each model that has one, keyed by model. */
  readonly versions: Readonly<Record<string, string>>;
  readonly role: string | undefined;
  /** Highest fencing number that the engine has seen. */
  readonly fencing: number;
  /** Models whose weights the engine is fetching. */
  readonly loading: readonly string[];
}

/** An order to one engine. */
export interface EngineOrder {
  readonly upstream: UpstreamConfiguration;
  readonly kind: OrderKind;
  readonly model: string | undefined;
  readonly version: string | undefined;
  readonly adapter: string | undefined;
  readonly role: string | undefined;
}

/** Input from which orders are derived. */
export interface PlanInput {
  readonly configuration: FleetConfiguration;
  readonly dataCentre: DataCentreName;
  /** States of the engines that responded; the others get no orders, and their models do not count as copies. */
  readonly actual: ReadonlyMap<UpstreamId, EngineState>;
  /** Engines with a pending order from this controller. */
  readonly busy: ReadonlySet<UpstreamId>;
}
