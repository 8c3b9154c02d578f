import type { ClassName, Configuration, ServiceName, UpstreamId } from '@sardinegrade/common';
import type { DispatcherSnapshot } from '@sardinegrade/dispatch';
import type { QueueState, UpstreamState } from '../types.js';

/** Health of engines that get new work. */
const IN_USE: ReadonlySet<string> = new Set(['healthy', 'reduced']);

const DOWN_HEALTH = 'down';

/**
 * Lists what this daemon knows of upstreams.
 *
 * @param snapshots - the dispatchers here
 * @param configuration - the configuration in force
 * @param isDown - whether the fleet's news says that an upstream is out of reach
 * @returns the engines that dispatchers here grant, and every upstream that is known to be down
 */
export const listUpstreamStates = (
  snapshots: Iterable<DispatcherSnapshot>,
  configuration: Configuration | undefined,
  isDown: (upstream: UpstreamId) => boolean,
): readonly UpstreamState[] => {
  const states = new Map<UpstreamId, UpstreamState>();
  for (const { upstreams } of snapshots) {
    for (const { upstream, health, granted, limit } of upstreams) {
      states.set(upstream, { upstream, health, granted, limit, isInUse: IN_USE.has(health) });
    }
  }
  for (const upstream of configuration?.upstreams.keys() ?? []) {
    if (!isDown(upstream)) continue;
    const known = states.get(upstream) ?? { upstream, granted: 0, limit: 0 };
    states.set(upstream, { ...known, health: DOWN_HEALTH, isInUse: false });
  }
  return [...states.values()];
};

/**
 * Lists the queues of the dispatchers here.
 *
 * @param snapshots - the dispatchers here
 * @returns the requests that wait, by service and class
 */
export const listQueues = (snapshots: Iterable<DispatcherSnapshot>): readonly QueueState[] => {
  const counts = new Map<string, number>();
  for (const { queuedByClass } of snapshots) {
    for (const [key, queued] of Object.entries(queuedByClass)) {
      counts.set(key, (counts.get(key) ?? 0) + queued);
    }
  }
  return [...counts].map(([key, queued]) => {
    const [service = '', className = ''] = key.split('/');
    return { service: service as ServiceName, className: className as ClassName, queued };
  });
};
