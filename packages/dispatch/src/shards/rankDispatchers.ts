import { rankByRendezvous } from '@sardinegrade/common';

import type { VmId } from '@sardinegrade/common';

/**
 * Ranks the live daemons of a data centre for a shard: the first one is its dispatcher, the others replace it in this
 * order on fail-over.
 *
 * @param shardKey - key of the shard
 * @param members - live daemons of the shard's data centre
 * @param lost - daemons that this daemon cannot currently reach
 * @returns the reachable daemons, the dispatcher first
 */
export const rankDispatchers = (
  shardKey: string,
  members: readonly VmId[],
  lost: ReadonlySet<VmId> = new Set(),
): readonly VmId[] => rankByRendezvous(shardKey, members).filter((vm) => !lost.has(vm));
