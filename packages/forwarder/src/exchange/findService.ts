import type { ServiceName } from '@sardinegrade/common';
import type { RoutedService, RoutingConfiguration } from '@sardinegrade/routing';

/**
 * Finds the service of a request.
 *
 * @param configuration - the active configuration
 * @param name - name of the service; undefined if the route has none
 * @returns the service, without limits if the configuration only names it, or undefined
 */
export const findService = (
  configuration: RoutingConfiguration | undefined,
  name: ServiceName | undefined,
): RoutedService | undefined => {
  if (name === undefined) return undefined;
  return configuration?.services.get(name) ?? { name, connectionLimit: 0, engine: undefined };
};
