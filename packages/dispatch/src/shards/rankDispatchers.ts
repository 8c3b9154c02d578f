import { rankByRendezvous } from '@sardinegrade/common';

import type { VmId } from '@sardinegrade/common';

/**
 * Orders the live daemons of a data centre for a shard: the first one dispatches it, the others follow it in the
 * order of fail-over.
 *
 * @param shardKey - the shard
 * @param members - live daemons of the shard's data centre
 * @param lost - daemons that cannot be reached from here at present
 * @returns the daemons that can be reached, the first choice first
 */
export const rankDispatchers = (
  shardKey: string,
  members: readonly VmId[],
  lost: ReadonlySet<VmId> = new Set(),
): readonly VmId[] => rankByRendezvous(shardKey, members).filter((vm) => !lost.has(vm));
