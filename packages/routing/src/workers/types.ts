import type { DataCentreName, ServiceName, UpstreamId } from '@sardinegrade/common';

/** A worker as its last registration describes it. */
export interface Worker {
  readonly id: UpstreamId;
  readonly service: ServiceName;
  /** `ip:port`. */
  readonly address: string;
  readonly dataCentre: DataCentreName;
  readonly slots: number;
  readonly isLeaving: boolean;
  /** Start of the worker's process, in Unix milliseconds: tells two lives under one id apart. */
  readonly startedAtMs: number;
}
