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

/** The administrators of a settings file, by name. */
export type AdministratorSettings = Readonly<
  Record<
    string,
    { readonly roles: readonly AdministratorRole[]; readonly key_sha256: readonly string[] }
  >
>;

/** The daemon's parts that the administration API shows and changes. */
export interface DaemonParts {
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
 * Builds the administration API's context from the parts of a daemon.
 *
 * @param parts - the daemon's parts
 * @returns the context
 */
export const createAdministrationContext = (parts: DaemonParts): AdministrationContext => ({
  vm: parts.vm,
  dataCentre: parts.dataCentre,
  clock: parts.clock,
  newId: randomUUID,
  logger: parts.logger,
  administrators: toAdministrators(parts.administrators),
  fleet: parts.fleet,
  orders: createOrderAdministration(parts.orders),
  metrics: parts.metrics,
  traces: parts.traces,
  journal: parts.journal,
  listUpstreamStates: () =>
    listUpstreamStates(
      parts.describeDispatchers(),
      parts.fleet.getConfiguration(),
      parts.isUpstreamDown,
    ),
  listQueues: () => listQueues(parts.describeDispatchers()),
  isReady: parts.isReady,
});
