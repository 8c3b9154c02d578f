import type { RequestId, ServiceName, VmId } from '@sardinegrade/common';
import type { BuildTable, StreamOrigin } from '@sardinegrade/routing';

/** A table as it is recorded. */
export interface RecordedTable extends BuildTable {
  readonly revision: number;
}

/**
 * Statement of a VM that it places new streams by tables alone, and no longer by those before the named ones. It holds for
 * later processes of the VM as well.
 */
export interface TableClaim {
  readonly vm: VmId;
  /** Era of the store in which it was written; a restored store may hold an outdated claim. */
  readonly era: number;
  /** Sequence of the table in use, by service. */
  readonly sequences: ReadonlyMap<ServiceName, number>;
}

/** All recorded tables and claims. */
export interface TableList {
  readonly tables: readonly RecordedTable[];
  readonly claims: readonly TableClaim[];
  readonly era: number;
  /** Whether all objects were understood: a later release may write others. */
  readonly isComplete: boolean;
}

/** Names of all registered VMs. */
export interface VmList {
  readonly vms: readonly VmId[];
  readonly era: number;
}

/** A stream whose origin is recorded. */
export interface RecordedStream extends StreamOrigin {
  /** The VM that began it. */
  readonly vm: VmId;
  readonly request: RequestId;
}

/** The record of tables in the platform's store. Every method rejects if the store does not answer. */
export interface TableStore {
  /** Name of this VM. */
  readonly vm: VmId;
  readonly list: () => Promise<TableList>;
  readonly listVms: () => Promise<VmList>;
  /** Lists VMs as of some seconds ago, at a tenth of the cost. */
  readonly listVmsStale: () => Promise<VmList>;
  /** Records a table; has no effect if another VM has recorded one with this sequence. */
  readonly create: (table: BuildTable) => Promise<void>;
  readonly remove: (table: RecordedTable) => Promise<void>;
  readonly claim: (claim: TableClaim) => Promise<void>;
  readonly listStreams: () => Promise<readonly RecordedStream[]>;
  /** Replaces the streams that this VM has recorded. */
  readonly writeStreams: (streams: readonly RecordedStream[]) => Promise<void>;
}
