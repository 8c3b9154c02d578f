import type { FleetConfiguration } from '@sardinegrade/fleet';
import type { DataCentreName, UpstreamConfiguration, UpstreamId } from '@sardinegrade/common';
import type { OrderKind } from './enums.js';

/** What an engine says of itself. */
export interface EngineState {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly versions: Readonly<Record<string, string>>;
  readonly role: string | undefined;
  readonly fencing: number;
  /** Models whose weights it is fetching. */
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

/** What a plan is made from. */
export interface PlanInput {
  readonly configuration: FleetConfiguration;
  readonly dataCentre: DataCentreName;
  /** Engines that answered lately; those that are missing get no orders and count as no copy. */
  readonly actual: ReadonlyMap<UpstreamId, EngineState>;
  /** Engines that have an order of this holder under way. */
  readonly busy: ReadonlySet<UpstreamId>;
}
