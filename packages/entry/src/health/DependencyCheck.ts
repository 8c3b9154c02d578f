import { ResultCode, SardinegradeError } from '@sardinegrade/common';

import { PROBE_INTERVAL_MS } from './constants.js';

import type {
  Clock,
  Configuration,
  ServiceConfiguration,
  ServiceName,
  UpstreamId,
} from '@sardinegrade/common';
import type { ExpiringSet } from './ExpiringSet.js';

/** Checks whether the services that a service depends on are available. */
export class DependencyCheck {
  readonly #downUpstreams: ExpiringSet<UpstreamId>;
  readonly #clock: Clock;

  constructor(downUpstreams: ExpiringSet<UpstreamId>, clock: Clock) {
    this.#downUpstreams = downUpstreams;
    this.#clock = clock;
  }

  /**
   * Rejects a request early if a direct or transitive dependency of its service is unavailable.
   *
   * @param configuration - the configuration of the request
   * @param service - the called service
   * @throws SardinegradeError with code 2004 and run state `not_run` if a dependency is unavailable
   */
  readonly requireDependencies = (
    configuration: Configuration,
    service: ServiceConfiguration,
  ): void => {
    const name = this.#findUnavailable(configuration, service, new Set());
    if (name === undefined) return;
    throw new SardinegradeError(
      ResultCode.DependencyDown,
      `Service '${service.name}' depends on '${name}', which cannot serve now.`,
      { retryAfterMs: PROBE_INTERVAL_MS },
    );
  };

  /**
   * Checks whether a service has an upstream that is up and not draining.
   *
   * @param configuration - the configuration that lists the upstreams
   * @param service - the service whose upstreams are checked
   * @returns false if none of its upstreams can accept requests
   */
  readonly canServe = (configuration: Configuration, service: ServiceConfiguration): boolean => {
    const nowMs = this.#clock.getNowMs();
    for (const upstream of configuration.upstreams.values()) {
      if (upstream.pool !== service.pool || upstream.draining) continue;
      if (!this.#downUpstreams.has(upstream.id, nowMs)) return true;
    }
    return false;
  };

  readonly #findUnavailable = (
    configuration: Configuration,
    service: ServiceConfiguration,
    visited: Set<ServiceName>,
  ): ServiceName | undefined => {
    for (const name of service.dependsOn) {
      if (visited.has(name)) continue;
      visited.add(name);
      const dependency = configuration.services.get(name);
      if (dependency === undefined) continue;
      if (!this.canServe(configuration, dependency)) return name;
      const transitive = this.#findUnavailable(configuration, dependency, visited);
      if (transitive !== undefined) return transitive;
    }
    return undefined;
  };
}
