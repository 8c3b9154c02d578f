import { addDemandSample } from './estimateDemand.js';

import type { ServiceName } from '@sardinegrade/common';
import type { DemandSample } from './estimateDemand.js';
import type { CapacityView } from './types.js';

/**
 * Demand of all services in the last seconds. VMs that may become the holder keep it, too: a successor that had to see a whole
 * period of load first would pay for idle workers until then.
 */
export class DemandHistory {
  readonly #samples = new Map<ServiceName, readonly DemandSample[]>();

  /** Adds the demand of a view. */
  record({ services }: CapacityView, nowMs: number): void {
    for (const { service, demand } of services) {
      const sample: DemandSample = { ...demand, atMs: nowMs };
      this.#samples.set(service, addDemandSample(this.list(service), sample));
    }
  }

  /** @returns the samples of a service, oldest first */
  list(service: ServiceName): readonly DemandSample[] {
    return this.#samples.get(service) ?? [];
  }
}
