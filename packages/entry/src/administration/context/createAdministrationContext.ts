import { randomUUID } from 'node:crypto';

import { createOrderAdministration } from './orderAdministration.js';
import { listQueues, listUpstreamStates } from './dispatchStates.js';

import type {
  AdministratorRole,
  Clock,
  DataCentreName,
  Logger,
  Metrics,
  RecentTraces,
  UpstreamId,
  VmId,
} from '@sardinegrade/common';
import type { DispatcherSnapshot } from '@sardinegrade/dispatch';
import type { FleetAgent } from '@sardinegrade/fleet';
import type { OrderOperations } from '@sardinegrade/orders';
import type { RequestJournal } from '../journal/index.js';
import type { AdministrationContext, Administrator } from '../types.js';

/** The `administrator` sections of a settings file, by name. */
export type AdministratorSettings = Readonly<
  Record<
    string,
    { readonly roles: readonly AdministratorRole[]; readonly key_sha256: readonly string[] }
  >
>;

/** Components of the daemon that the administration API reads and changes. */
export interface AdministrationDependencies {
  readonly vm: VmId;
  readonly dataCentre: DataCentreName;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly administrators: AdministratorSettings;
  readonly fleet: FleetAgent;
  readonly orders: OrderOperations;
  readonly metrics: Metrics;
  readonly traces: RecentTraces;
  readonly journal: RequestJournal;
  readonly describeDispatchers: () => Iterable<DispatcherSnapshot>;
  readonly isUpstreamDown: (upstream: UpstreamId) => boolean;
  readonly isReady: () => boolean;
}

const toAdministrators = (settings: AdministratorSettings): readonly Administrator[] =>
  Object.entries(settings).map(([name, { roles, key_sha256: keyHashes }]) => ({
    name,
    roles: new Set(roles),
    keyHashes,
  }));

/**
 * Builds the context of the administration API.
 *
 * @param dependencies - components of the daemon
 * @returns a context that reads the current state of these components on each call
 */
export const createAdministrationContext = (
  dependencies: AdministrationDependencies,
): AdministrationContext => ({
  vm: dependencies.vm,
  dataCentre: dependencies.dataCentre,
  clock: dependencies.clock,
  newId: randomUUID,
  logger: dependencies.logger,
  administrators: toAdministrators(dependencies.administrators),
  fleet: dependencies.fleet,
  orders: createOrderAdministration(dependencies.orders),
  metrics: dependencies.metrics,
  traces: dependencies.traces,
  journal: dependencies.journal,
  listUpstreamStates: () =>
    listUpstreamStates(
      dependencies.describeDispatchers(),
      dependencies.fleet.getConfiguration(),
      dependencies.isUpstreamDown,
    ),
  listQueues: () => listQueues(dependencies.describeDispatchers()),
  isReady: dependencies.isReady,
});
