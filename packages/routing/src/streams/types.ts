import type { BuildName, RequestId, ServiceName } from '@sardinegrade/common';

/** Where a stream began: only workers of this service and build may go on with it. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly build: BuildName;
}

/** Origin of a stream as VMs tell each other. */
export interface StreamOriginReport extends StreamOrigin {
  /** The request that received the first event of the stream. */
  readonly request: RequestId;
  /** Time in which the stream can still be resumed, in milliseconds. */
  readonly remainingMs: number;
}
