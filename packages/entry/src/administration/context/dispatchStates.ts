import type { ClassName, Configuration, ServiceName, UpstreamId } from '@sardinegrade/common';
import type { DispatcherSnapshot } from '@sardinegrade/dispatch';
import type { QueueState, UpstreamState } from '../types.js';

/** Health values of engines that receive new requests. */
const IN_USE_HEALTH_STATES: ReadonlySet<string> = new Set(['healthy', 'reduced']);

/** Health of an upstream that the fleet reports as unreachable. */
const DOWN_HEALTH = 'down';

/**
 * Lists the states of upstreams that are known to this daemon.
 *
 * @param snapshots - snapshots of the dispatchers on this daemon
 * @param configuration - the active configuration
 * @param isDown - whether the fleet reports an upstream as unreachable; overrides the health in a snapshot
 * @returns the upstreams of the local dispatchers and every configured upstream that is down
 */
export const listUpstreamStates = (
  snapshots: Iterable<DispatcherSnapshot>,
  configuration: Configuration | undefined,
  isDown: (upstream: UpstreamId) => boolean,
): readonly UpstreamState[] => {
  const states = new Map<UpstreamId, UpstreamState>();
  for (const { upstreams } of snapshots) {
    for (const { upstream, health, granted, limit } of upstreams) {
      states.set(upstream, {
        upstream,
        health,
        granted,
        limit,
        isInUse: IN_USE_HEALTH_STATES.has(health),
      });
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
 * Counts the queued requests by service and class.
 *
 * @param snapshots - snapshots of the dispatchers on this daemon
 * @returns one count for each service and class, summed over the dispatchers
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
