import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { PROBE_INTERVAL_MS } from './constants.js';

import type {
  Clock,
  Configuration,
  ServiceConfiguration,
  ServiceName,
  UpstreamId,
} from '@sardinegrade/common';
import type { FactTable } from './FactTable.js';

/** Finds out whether what a service depends on can serve. */
export class DependencyCheck {
  readonly #down: FactTable<UpstreamId>;
  readonly #clock: Clock;

  constructor(down: FactTable<UpstreamId>, clock: Clock) {
    this.#down = down;
    this.#clock = clock;
  }

  /**
   * Refuses a request early where something that its service depends on, near or far, cannot serve.
   *
   * @param configuration - the configuration that the request runs under
   * @param service - the service
   * @throws SardinegradeError with code 2004, as not run
   */
  readonly requireDependencies = (
    configuration: Configuration,
    service: ServiceConfiguration,
  ): void => {
    const name = this.#findDown(configuration, service, new Set());
    if (name === undefined) return;
    throw new SardinegradeError(
      ResultCode.DependencyDown,
      `Service '${service.name}' depends on '${name}', which cannot serve now.`,
      { retryAfterMs: PROBE_INTERVAL_MS },
    );
  };

  /**
   * Whether a service has an upstream that is up and not draining.
   *
   * @param configuration - the configuration
   * @param service - the service
   * @returns false where none of its upstreams can take a request
   */
  readonly canServe = (configuration: Configuration, service: ServiceConfiguration): boolean => {
    const nowMs = this.#clock.getNowMs();
    for (const upstream of configuration.upstreams.values()) {
      if (upstream.pool !== service.pool || upstream.draining) continue;
      if (!this.#down.has(upstream.id, nowMs)) return true;
    }
    return false;
  };

  readonly #findDown = (
    configuration: Configuration,
    service: ServiceConfiguration,
    seen: Set<ServiceName>,
  ): ServiceName | undefined => {
    for (const name of service.dependsOn) {
      if (seen.has(name)) continue;
      seen.add(name);
      const dependency = configuration.services.get(name);
      if (dependency === undefined) continue;
      if (!this.canServe(configuration, dependency)) return name;
      const below = this.#findDown(configuration, dependency, seen);
      if (below !== undefined) return below;
    }
    return undefined;
  };
}
