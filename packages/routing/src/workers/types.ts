import type { BuildName, DataCentreName, ServiceName, UpstreamId } from '@sardinegrade/common';

/** A worker according to its last registration. */
export interface Worker {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreName;
  /** Version of its software; several may serve one service side by side. */
  readonly build: BuildName;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Whether the worker is draining or its registration is being deleted. */
  readonly isLeaving: boolean;
  /** Start of the worker's process, in Unix milliseconds. It distinguishes consecutive instances with the same id. */
  readonly startedAtMs: number;
  /** Rises with each report of one process. */
  readonly sequence: number;
  /** Whether it may be reclaimed at short notice, all of a data centre at once. */
  readonly isSpot?: boolean;
}

/**
 * Tells other VMs of a worker instance that a restored store lists, although it has left before or was not known to the
 * sender.
 */
export interface OutdatedReport {
  /** Hash of the id of the worker instance. */
  readonly instance: number;
  /** Time after which its registration counts unless it was removed, in milliseconds. */
  readonly remainingMs: number;
}
