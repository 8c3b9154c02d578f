import type { UpstreamView } from '@sardinegrade/common';

/** Picks the view of the daemon that dispatches to the upstream: it has a health and the most grants. */
const pickDispatcherView = (a: UpstreamView, b: UpstreamView | undefined): UpstreamView => {
  if (b?.health === undefined) return a;
  if (a.health === undefined) return b;
  return (b.granted ?? 0) > (a.granted ?? 0) ? b : a;
};

/**
 * Merges the upstream lists that several daemons report.
 *
 * @param lists - one list of upstreams from each daemon
 * @returns each upstream once, with the state reported by its dispatcher if there is one
 */
export const mergeUpstreams = (
  lists: readonly (readonly UpstreamView[])[],
): readonly UpstreamView[] => {
  const merged = new Map<string, UpstreamView>();
  for (const upstream of lists.flat()) {
    merged.set(upstream.id, pickDispatcherView(upstream, merged.get(upstream.id)));
  }
  return [...merged.values()];
};
