import type { UpstreamView } from '@sardinegrade/common';

/** Of two views the one whose daemon dispatches to the upstream holds. */
const pickDispatcher = (a: UpstreamView, b: UpstreamView | undefined): UpstreamView => {
  if (b?.health === undefined) return a;
  if (a.health === undefined) return b;
  return (b.granted ?? 0) > (a.granted ?? 0) ? b : a;
};

/**
 * Merges what several daemons say of the upstreams.
 *
 * @param lists - the upstreams as each daemon sees them
 * @returns each upstream once, as its dispatcher sees it where one was asked
 */
export const mergeUpstreams = (
  lists: readonly (readonly UpstreamView[])[],
): readonly UpstreamView[] => {
  const merged = new Map<string, UpstreamView>();
  for (const upstream of lists.flat()) {
    merged.set(upstream.id, pickDispatcher(upstream, merged.get(upstream.id)));
  }
  return [...merged.values()];
};
