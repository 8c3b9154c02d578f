import { FencingSupport } from '@sardinegrade/common';

import type { EngineOrder } from './schemas.js';

/** Loaded models and adapters of an engine, with its role and fencing number. */
export interface ModelState {
  readonly models: readonly string[];
  readonly adapters: readonly string[];
  readonly versions: Readonly<Record<string, string>>;
  readonly role: string;
  readonly fencing: number;
  readonly loading: readonly string[];
}

/** Result of an order: rejected as stale, or executed with or without an error. */
export type OrderResult =
  | { readonly isStale: true; readonly fencing: number }
  | { readonly isStale: false; readonly error: string | undefined };

/** Fetches a model's weights. Rejects if the transfer fails or the signal aborts. */
export type FetchWeights = (model: string, signal: AbortSignal) => Promise<void>;

const DEFAULT_DEADLINE_MS = 60_000;

/** Manages an engine's models, adapters and role, and the highest fencing number of the orders that set them. */
export class ModelManager {
  private readonly models: Set<string>;
  private readonly adapters = new Set<string>();
  private readonly versions = new Map<string, string>();
  private readonly loading = new Set<string>();
  private role = 'serve';
  private fencing = 0;
  private readonly fencingSupport: FencingSupport;
  private readonly fetchWeights: FetchWeights;

  constructor(
    models: readonly string[],
    fencingSupport: FencingSupport,
    fetchWeights: FetchWeights,
  ) {
    this.models = new Set(models);
    this.fencingSupport = fencingSupport;
    this.fetchWeights = fetchWeights;
  }

  hasModel(model: string): boolean {
    return this.models.has(model);
  }

  getState(): ModelState {
    return {
      models: [...this.models],
      adapters: [...this.adapters],
      versions: Object.fromEntries(this.versions),
      role: this.role,
      fencing: this.fencing,
      loading: [...this.loading],
    };
  }

  /** Executes an order. An engine that checks fencing numbers rejects orders older than the newest one. */
  async execute(order: EngineOrder): Promise<OrderResult> {
    if (this.fencingSupport === FencingSupport.Checked && order.fencing < this.fencing) {
      return { isStale: true, fencing: this.fencing };
    }
    this.fencing = Math.max(this.fencing, order.fencing);
    return { isStale: false, error: await this.handlers[order.order](order) };
  }

  private readonly handlers = {
    load: (order: EngineOrder) => this.load(order),
    unload: (order: EngineOrder) => Promise.resolve(this.removeModel(order)),
    role: (order: EngineOrder) => Promise.resolve(this.setRole(order)),
  };

  private async load(order: EngineOrder): Promise<string | undefined> {
    const { model, adapter, version } = order;
    if (model === undefined) return 'A load names a model.';
    const deadline = AbortSignal.timeout(order.deadline_ms ?? DEFAULT_DEADLINE_MS);
    this.loading.add(model);
    try {
      if (!this.models.has(model)) await this.fetchWeights(model, deadline);
    } catch (error) {
      return `The weights were not loaded: ${String(error)}`;
    } finally {
      this.loading.delete(model);
    }
    this.models.add(model);
    if (adapter !== undefined) this.adapters.add(adapter);
    if (version !== undefined) this.versions.set(model, version);
    return undefined;
  }

  private removeModel(order: EngineOrder): string | undefined {
    if (order.adapter !== undefined) this.adapters.delete(order.adapter);
    else if (order.model !== undefined) this.models.delete(order.model);
    else return 'An unload names a model or an adapter.';
    return undefined;
  }

  private setRole(order: EngineOrder): string | undefined {
    if (order.role === undefined) return 'A change of role names the role.';
    this.role = order.role;
    return undefined;
  }
}
